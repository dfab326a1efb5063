package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/state/configuration"
)

// opened is a gate with its clients' handler, closed as the test ends.
func opened(t *testing.T, in net.Listener, h http.HandlerFunc) (*gate, context.CancelFunc, chan error) {
	t.Helper()
	g := newGate(in, h)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- g.serve(ctx, 300*time.Millisecond) }()
	t.Cleanup(cancel)
	return g, cancel, done
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// caller is a client's connection by hand; every read has a bound.
type caller struct {
	net.Conn
	read *bufio.Reader
}

func dial(t *testing.T, at net.Addr) *caller {
	t.Helper()
	c, err := net.Dial("tcp", at.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	return &caller{c, bufio.NewReader(c)}
}

func (c *caller) ask(t *testing.T, head string) *http.Response {
	t.Helper()
	if _, err := io.WriteString(c, "GET /x HTTP/1.1\r\nHost: h\r\n"+head+"\r\n"); err != nil {
		t.Fatal(err)
	}
	return c.answer(t)
}

func (c *caller) answer(t *testing.T) *http.Response {
	t.Helper()
	res, err := http.ReadResponse(c.read, nil)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, res.Body)
	return res
}

func (c *caller) closed() bool {
	_, err := c.read.ReadByte()
	return err == io.EOF || strings.Contains(fmt.Sprint(err), "reset")
}

func fine(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }

var narrow = configuration.Limits{MaxHeaderBytes: 1024, MaxBodyBytes: 1, HeaderTimeoutMillis: 100, IdleTimeoutMillis: 100}

// New limits don't end what is under way, and connections that were held end in order.
func TestLimitsChangeWhileConnectionsAreHeld(t *testing.T) {
	is := is.New(t)
	l := listen(t)
	inside, release := make(chan struct{}), make(chan struct{})
	g, _, _ := opened(t, l, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Slow") != "" {
			close(inside)
			<-release
		}
		fine(w, r)
	})
	idle, busy := dial(t, l.Addr()), dial(t, l.Addr())
	is.Equal(idle.ask(t, "").StatusCode, 204)
	_, err := io.WriteString(busy, "GET /x HTTP/1.1\r\nHost: h\r\nSlow: 1\r\n\r\n")
	is.NoErr(err)
	<-inside
	g.limit(narrow)
	g.limit(narrow) // the same again changes nothing
	is.True(idle.closed())
	close(release)
	res := busy.answer(t)
	is.Equal(res.StatusCode, 204)
	is.True(res.Close) // its client is told to go
	is.True(busy.closed())
	// The new limits hold for who comes now: a large head, and idling.
	late := dial(t, l.Addr())
	is.Equal(late.ask(t, "").StatusCode, 204)
	is.True(late.closed())
	large := dial(t, l.Addr())
	is.Equal(large.ask(t, "Large: "+strings.Repeat("x", 8000)+"\r\n").StatusCode, 431)
	is.True(large.closed())
	// One that doesn't end its head is let go.
	slow := dial(t, l.Addr())
	_, err = io.WriteString(slow, "GET /x HTTP/1.1\r\n")
	is.NoErr(err)
	_, _ = io.Copy(io.Discard, slow.read)
	is.True(slow.closed())
}

// While limits change over and over, nobody who comes is sent away unheard.
func TestNobodyIsSentAwayByNewLimits(t *testing.T) {
	is := is.New(t)
	l := listen(t)
	g, _, _ := opened(t, l, fine)
	var stop atomic.Bool
	changed := make(chan struct{})
	go func() {
		defer close(changed)
		for i := 0; !stop.Load(); i++ {
			limits := configuration.DefaultLimits
			limits.MaxBodyBytes = i
			g.limit(limits)
		}
	}()
	for range 100 {
		is.Equal(dial(t, l.Addr()).ask(t, "Connection: close\r\n").StatusCode, 204)
	}
	stop.Store(true)
	<-changed
}

// scarce is a listener that runs out of descriptors at first.
type scarce struct {
	net.Listener
	left atomic.Int64
}

func (s *scarce) Accept() (net.Conn, error) {
	if s.left.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return s.Listener.Accept()
}

// A process out of descriptors lets the next one in once it has some again.
func TestAGateOutOfDescriptorsStays(t *testing.T) {
	is := is.New(t)
	l := &scarce{Listener: listen(t)}
	l.left.Store(3)
	_, cancel, done := opened(t, l, fine)
	is.Equal(dial(t, l.Addr()).ask(t, "").StatusCode, 204)
	cancel()
	is.Equal(<-done, context.Canceled)
}

// After the polite signal clients are still let in for a moment; what is under
// way ends, and only then the gate.
func TestAGateEndsInOrder(t *testing.T) {
	is := is.New(t)
	l := listen(t)
	inside, release := make(chan struct{}), make(chan struct{})
	g, cancel, done := opened(t, l, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Slow") != "" {
			close(inside)
			<-release
		}
		fine(w, r)
	})
	busy := dial(t, l.Addr())
	_, err := io.WriteString(busy, "GET /x HTTP/1.1\r\nHost: h\r\nSlow: 1\r\n\r\n")
	is.NoErr(err)
	<-inside
	cancel()
	is.Equal(dial(t, l.Addr()).ask(t, "").StatusCode, 204)
	g.limit(narrow) // even now, with a request of the server before still under way
	select {
	case <-done:
		t.Fatal("ended with a request under way")
	default:
	}
	close(release)
	is.Equal(busy.answer(t).StatusCode, 204)
	is.Equal(<-done, context.Canceled)
}
