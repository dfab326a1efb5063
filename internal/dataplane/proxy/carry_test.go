package proxy

import (
	"bufio"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/base/settings"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/targets"
	"dunlinwell/internal/dataplane/dispatch"
	"dunlinwell/internal/transport/process"
)

// fakeTarget is a target written by hand, so that it can misbehave on the wire.
type fakeTarget struct {
	net.Listener
	requests    atomic.Int64
	connections atomic.Int64
	identity    string
	respond     func(r *http.Request) string
	headers     atomic.Pointer[http.Header]
}

func newFakeTarget(t *testing.T) *fakeTarget {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s := &fakeTarget{Listener: l, identity: `{"instance":"t","service":"s"}`, respond: validResponse}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.connections.Add(1)
			go s.serve(c)
		}
	}()
	return s
}

func (s *fakeTarget) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if req.URL.Path == IdentityPath {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(s.identity), s.identity)
			continue
		}
		s.requests.Add(1)
		h := req.Header.Clone()
		s.headers.Store(&h)
		out := s.respond(req)
		if out == "" {
			return
		}
		_, _ = io.WriteString(c, out)
	}
}

func validResponse(r *http.Request) string { return responseWithDigest(r, "hello", "hello") }

func responseWithDigest(r *http.Request, body, sum string) string {
	d := sha256.Sum256([]byte(sum))
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\nContent-Digest: sha-256=:%s:\r\nRequest-Id: %s\r\nIdempotency-Key: %s\r\nKeep-Alive: timeout=9\r\n\r\n%s",
		len(body), base64.StdEncoding.EncodeToString(d[:]), r.Header.Get("Request-Id"), r.Header.Get("Idempotency-Key"), body)
}

func newTestDaemon() *Daemon {
	d := NewDaemon(DaemonOptions{Common: settings.Common{Name: "c1", Address: "127.0.0.1:1", HTTPAddress: "127.0.0.1:2", Zone: "a", LogLevel: "error"}, MaxResponseBytes: 1000})
	d.self = membership.Member{ID: "c1", RunID: 7}
	return d
}

func (d *Daemon) forwardNative(s *fakeTarget, fresh, repeatable bool) dispatch.AttemptFinished {
	d.lastStep.Store(int64(process.Now()))
	c := &ClientRequest{
		Method: "POST", URI: "/x?y=1", Body: []byte("{}"), Job: dispatch.Job{ID: 3, IdempotencyKey: "m", Attempt: 1, Repeatable: repeatable},
		Header: http.Header{"Idempotency-Key": {"m"}, "Connection": {"X-Own"}, "X-Own": {"1"}, "X-Kept": {"2"}},
	}
	return d.forward(c, dispatch.Forward{
		ID: 3, Sequence: 1, NewConnection: fresh, Deadline: process.Now().Add(5 * time.Second), SendBefore: process.Now().Add(5 * time.Second),
		Target: targets.Target{Instance: "t", Service: "s", Incarnation: 4, Address: ids.Address(s.Addr().String())},
	})
}

func TestForward_ReturnsCompleteResponse(t *testing.T) {
	is := is.New(t)
	s, d := newFakeTarget(t), newTestDaemon()
	b := d.forwardNative(s, true, false)
	is.Equal(b.Result, dispatch.Complete)
	is.Equal(string(b.Response.Body), "hello")
	h := *s.headers.Load()
	is.Equal(h.Get("X-Kept"), "2")
	is.Equal(h.Get("X-Own"), "") // belongs to the client's connection alone
	for _, line := range b.Response.Header {
		is.True(line.Name != "Keep-Alive")
	}
	// A repeatable one may use the connection again, an unrepeatable one may not.
	is.Equal(d.forwardNative(s, false, true).Result, dispatch.Complete)
	is.Equal(s.connections.Load(), int64(1))
	is.Equal(d.forwardNative(s, true, false).Result, dispatch.Complete)
	is.Equal(s.connections.Load(), int64(2))
}

// Every way in which an answer is not the target's whole, sealed one.
func TestForward_DiscardsInvalidResponse(t *testing.T) {
	is := is.New(t)
	for name, answer := range map[string]func(*http.Request) string{
		"closed":     func(*http.Request) string { return "" },
		"garbage":    func(*http.Request) string { return "nonsense\r\n\r\n" },
		"wrong seal": func(r *http.Request) string { return responseWithDigest(r, "hello", "other") },
		"no seal":    func(r *http.Request) string { return strings.Replace(validResponse(r), "Content-Digest", "X", 1) },
		"other request": func(r *http.Request) string {
			return strings.Replace(validResponse(r), "Request-Id: c1", "Request-Id: c2", 1)
		},
		"two requests": func(r *http.Request) string {
			return strings.Replace(validResponse(r), "Idempotency-Key", "Request-Id: c2\r\nIdempotency-Key", 1)
		},
		"other mark": func(r *http.Request) string { return strings.Replace(validResponse(r), "Key: m", "Key: n", 1) },
		"too large":  func(r *http.Request) string { b := strings.Repeat("x", 2000); return responseWithDigest(r, b, b) },
		"redirect":   func(*http.Request) string { return "HTTP/1.1 302 Found\r\nLocation: /y\r\nContent-Length: 0\r\n\r\n" },
	} {
		s, d := newFakeTarget(t), newTestDaemon()
		s.respond = answer
		b := d.forwardNative(s, true, false)
		if b.Result != dispatch.MayHaveRun {
			t.Errorf("%s: %v %s", name, b.Result, b.Reason)
		}
		is.Equal(s.requests.Load(), int64(1)) // sent once, whatever came back
	}
}

// A connection on which another shows itself carries nothing: the address has a
// new owner, or the same one was restarted, or leaves.
func TestForward_SendsNothingToUnverifiedTarget(t *testing.T) {
	is := is.New(t)
	for _, page := range []string{
		`{"instance":"u","service":"s"}`, `{"instance":"t","service":"other"}`, `{"instance":"t","service":"s","leaving":true}`,
		`{"instance":"t","service":"s","incarnation":5}`, `{}`, `not JSON`,
	} {
		s, d := newFakeTarget(t), newTestDaemon()
		s.identity = page
		is.Equal(d.forwardNative(s, true, false).Result, dispatch.NotSent)
		is.Equal(s.requests.Load(), int64(0))
	}
	// A connection that was closed while it lay idle is not used.
	s, d := newFakeTarget(t), newTestDaemon()
	s.respond = func(r *http.Request) string {
		return strings.Replace(validResponse(r), "Content-Length", "Connection: close\r\nContent-Length", 1)
	}
	is.Equal(d.forwardNative(s, false, true).Result, dispatch.Complete)
	is.Equal(d.forwardNative(s, false, true).Result, dispatch.Complete)
	is.Equal(s.connections.Load(), int64(2))
}

// After a freeze, or with no time left, nothing leaves.
func TestMaySend_DeadlineAndFreeze(t *testing.T) {
	is := is.New(t)
	is.True(MaySend(100, 200, 50))
	is.True(!MaySend(200, 200, 50))
	is.True(!MaySend(ids.Time(3*time.Second), ids.Time(time.Hour), ids.Time(time.Second)))
}
