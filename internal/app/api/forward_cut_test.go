package api

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
)

// cutRegistry is a registry that ends each answer after some bytes, and records the
// ids of the changes that reached it.
type cutRegistry struct {
	net.Listener
	mu        sync.Mutex
	answer    string
	cutAt     int
	reset     bool
	changeIDs []string
}

func newCutRegistry(t *testing.T, answer string) *cutRegistry {
	t.Helper()
	c := &cutRegistry{Listener: listen(t), answer: answer, cutAt: len(answer)}
	go acceptEach(c.Listener, c.serve)
	return c
}

// serve answers on one connection until a cut ends it.
func (c *cutRegistry) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		c.mu.Lock()
		c.changeIDs = append(c.changeIDs, r.Header.Get("Change-Id"))
		answer, cutAt, reset := c.answer, c.cutAt, c.reset
		c.mu.Unlock()
		_, _ = io.WriteString(conn, answer[:cutAt])
		if cutAt == len(answer) {
			continue
		}
		if reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		return
	}
}

// cutAfter ends the next answers after some bytes, by a reset or an orderly close, and
// forgets the changes so far.
func (c *cutRegistry) cutAfter(bytes int, reset bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cutAt, c.reset, c.changeIDs = bytes, reset, nil
}

func (c *cutRegistry) receivedChangeIDs() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.changeIDs)
}

func (c *cutRegistry) address() ids.Address { return ids.Address(c.Addr().String()) }

const (
	acceptedResponse = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n{\"a\":1}"
	chunkedResponse  = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7\r\n{\"a\":1}\r\n0\r\n\r\n"
)

// Wherever a registry's answer is cut, a change has left once, and the caller is told
// no more than that it may have been applied.
func TestForwarder_ResponseCutAtEachByte(t *testing.T) {
	for name, answer := range map[string]string{"with a length": acceptedResponse, "chunked": chunkedResponse} {
		for _, method := range []string{"PUT", "POST", "DELETE", "GET"} {
			t.Run(method+" "+name, func(t *testing.T) {
				registry := newCutRegistry(t, answer)
				f := forwarderTo(registry.address())
				want := 504
				if method == "GET" {
					want = 503
				}
				for cutAt := range len(answer) + 1 {
					if cutAt == len(answer) {
						want = 200
					}
					for _, reset := range []bool{false, true} {
						registry.cutAfter(cutAt, reset)
						rw := forward(f, method)
						if received := registry.receivedChangeIDs(); rw.Code != want || len(received) != 1 {
							t.Fatalf("cut at byte %d, reset %t: status %d, not %d; it left %d times", cutAt, reset, rw.Code, want, len(received))
						}
					}
				}
			})
		}
	}
}

// A change that goes on to a second registry keeps its id, so that the two copies are
// one change.
func TestForwarder_KeepsChangeID(t *testing.T) {
	is := is.New(t)
	first, second := newCutRegistry(t, acceptedResponse), newCutRegistry(t, acceptedResponse)
	f := forwarderTo(first.address(), second.address())
	for cutAt := range len(acceptedResponse) {
		first.cutAfter(cutAt, true)
		second.cutAfter(len(acceptedResponse), false)
		is.Equal(forward(f, "PUT").Code, 200)
		is.Equal(len(first.receivedChangeIDs()), 1)
		is.Equal(first.receivedChangeIDs(), second.receivedChangeIDs())
		is.True(first.receivedChangeIDs()[0] != "")
	}
}

// A redirect is handed back, and not followed: the call would leave a second time.
func TestForwarder_FollowsNoRedirect(t *testing.T) {
	is := is.New(t)
	elsewhere := newCutRegistry(t, acceptedResponse)
	for _, status := range []int{301, 302, 307, 308} {
		registry := newCutRegistry(t, fmt.Sprintf("HTTP/1.1 %d Elsewhere\r\nLocation: http://%s/\r\nContent-Length: 0\r\n\r\n", status, elsewhere.Addr()))
		is.Equal(forward(forwarderTo(registry.address()), "PUT").Code, status)
	}
	is.Equal(len(elsewhere.receivedChangeIDs()), 0)
}

// A registry that nobody listens at can't have applied anything.
func TestForwarder_UnsentCallIsUnavailable(t *testing.T) {
	is := is.New(t)
	registry := newCutRegistry(t, acceptedResponse)
	f := forwarderTo(registry.address())
	is.NoErr(registry.Close())
	is.Equal(forward(f, "PUT").Code, 503)
}
