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

// cutRegistry is a registry that truncates each answer after cutAt bytes and records the IDs
// of the changes that it received.
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

// serve answers the requests on one connection until an answer is truncated.
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

// cutAfter truncates the next answers after the given number of bytes, by a reset or an
// orderly close, and clears the recorded changes.
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

// If a registry's answer is truncated, the forwarder must not resend the change, and must
// answer that the outcome is unknown.
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
							t.Fatalf("truncated at byte %d, reset %t: got status %d, want %d; the registry received %d calls, want 1", cutAt, reset, rw.Code, want, len(received))
						}
					}
				}
			})
		}
	}
}

// A change that is retried on a second registry must keep its ID, so that it is applied once.
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

// A redirect must be returned to the client, not followed: the change would be sent twice.
func TestForwarder_ReturnsRedirect(t *testing.T) {
	is := is.New(t)
	redirectTarget := newCutRegistry(t, acceptedResponse)
	for _, status := range []int{301, 302, 307, 308} {
		registry := newCutRegistry(t, fmt.Sprintf("HTTP/1.1 %d Elsewhere\r\nLocation: http://%s/\r\nContent-Length: 0\r\n\r\n", status, redirectTarget.Addr()))
		is.Equal(forward(forwarderTo(registry.address()), "PUT").Code, status)
	}
	is.Equal(len(redirectTarget.receivedChangeIDs()), 0)
}

// If no connection could be opened, no registry can have applied the call: the answer must be
// 503, not 504.
func TestForwarder_UnsentCallIsUnavailable(t *testing.T) {
	is := is.New(t)
	registry := newCutRegistry(t, acceptedResponse)
	f := forwarderTo(registry.address())
	is.NoErr(registry.Close())
	is.Equal(forward(f, "PUT").Code, 503)
}
