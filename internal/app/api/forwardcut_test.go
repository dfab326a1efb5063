package api

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
)

// cutRegistry is a registry that ends each answer after some bytes, and notes the
// changes that reached it.
type cutRegistry struct {
	net.Listener
	mu        sync.Mutex
	answer    string
	after     int
	reset     bool
	changeIDs []string
}

func newCutRegistry(t *testing.T, answer string) *cutRegistry {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	k := &cutRegistry{Listener: l, answer: answer, after: len(answer)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.serve(c)
		}
	}()
	return k
}

// serve answers on one connection until a cut ends it.
func (k *cutRegistry) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		k.mu.Lock()
		k.changeIDs = append(k.changeIDs, r.Header.Get("Change-Id"))
		answer, after, reset := k.answer, k.after, k.reset
		k.mu.Unlock()
		_, _ = io.WriteString(c, answer[:after])
		if after == len(answer) {
			continue
		}
		if reset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		return
	}
}

func (k *cutRegistry) cutAfter(after int, reset bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.after, k.reset, k.changeIDs = after, reset, nil
}

func (k *cutRegistry) receivedChangeIDs() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]string(nil), k.changeIDs...)
}

func newTestForwarder(to ...*cutRegistry) *Forwarder {
	return NewForwarder(func() (out []ids.Address) {
		for _, k := range to {
			out = append(out, ids.Address(k.Addr().String()))
		}
		return out
	})
}

func forward(f *Forwarder, method string) *httptest.ResponseRecorder {
	rw := httptest.NewRecorder()
	f.ServeHTTP(rw, httptest.NewRequest(method, "/v1/services/wader", strings.NewReader("{}")))
	return rw
}

const (
	acceptedResponse = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n{\"a\":1}"
	chunkedResponse  = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7\r\n{\"a\":1}\r\n0\r\n\r\n"
)

// Wherever a registry's answer is cut, a change has left once, and nobody is
// told more than that it may have been taken.
func TestForwarder_ResponseCutAtEachByte(t *testing.T) {
	for _, answer := range []string{acceptedResponse, chunkedResponse} {
		k := newCutRegistry(t, answer)
		f := newTestForwarder(k)
		for _, method := range []string{"PUT", "POST", "DELETE", "GET"} {
			for after := range len(answer) + 1 {
				for _, reset := range []bool{false, true} {
					k.cutAfter(after, reset)
					rw := forward(f, method)
					want := 504
					if method == "GET" {
						want = 503
					}
					if after == len(answer) {
						want = 200
					}
					if rw.Code != want || len(k.receivedChangeIDs()) != 1 {
						t.Fatalf("%s cut at byte %d, reset %t: status %d, it left %d times", method, after, reset, rw.Code, len(k.receivedChangeIDs()))
					}
				}
			}
		}
	}
}

// A change that goes on to a second registry keeps its id, so that the two are
// one change; no library sends it again by itself, nor to where an answer points.
func TestForwarder_KeepsChangeID(t *testing.T) {
	is := is.New(t)
	first, second := newCutRegistry(t, acceptedResponse), newCutRegistry(t, acceptedResponse)
	f := newTestForwarder(first, second)
	for after := range len(acceptedResponse) {
		first.cutAfter(after, true)
		second.cutAfter(len(acceptedResponse), false)
		is.Equal(forward(f, "PUT").Code, 200)
		is.Equal(len(first.receivedChangeIDs()), 1)
		is.Equal(first.receivedChangeIDs(), second.receivedChangeIDs())
		is.True(first.receivedChangeIDs()[0] != "")
	}
	elsewhere := newCutRegistry(t, acceptedResponse)
	for _, status := range []int{301, 302, 307, 308} {
		k := newCutRegistry(t, fmt.Sprintf("HTTP/1.1 %d Elsewhere\r\nLocation: http://%s/\r\nContent-Length: 0\r\n\r\n", status, elsewhere.Addr()))
		is.Equal(forward(newTestForwarder(k), "PUT").Code, status)
	}
	is.Equal(len(elsewhere.receivedChangeIDs()), 0)
}

// A registry that nobody listens at can't have taken anything.
func TestForwarder_UnsentCallIsUnavailable(t *testing.T) {
	is := is.New(t)
	k := newCutRegistry(t, acceptedResponse)
	f := newTestForwarder(k)
	k.Close()
	is.Equal(forward(f, "PUT").Code, 503)
}
