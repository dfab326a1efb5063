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

// startClientListener is a gate with its clients' handler, closed as the test ends.
func startClientListener(t *testing.T, in net.Listener, h http.HandlerFunc) (*clientListener, context.CancelFunc, chan error) {
	t.Helper()
	g := newClientListener(in, h)
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

// testClient is a client's connection by hand; every read has a bound.
type testClient struct {
	net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, at net.Addr) *testClient {
	t.Helper()
	c, err := net.Dial("tcp", at.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	return &testClient{c, bufio.NewReader(c)}
}

func (c *testClient) roundTrip(t *testing.T, head string) *http.Response {
	t.Helper()
	if _, err := io.WriteString(c, "GET /x HTTP/1.1\r\nHost: h\r\n"+head+"\r\n"); err != nil {
		t.Fatal(err)
	}
	return c.readResponse(t)
}

func (c *testClient) readResponse(t *testing.T) *http.Response {
	t.Helper()
	res, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, res.Body)
	return res
}

func (c *testClient) closed() bool {
	_, err := c.reader.ReadByte()
	return err == io.EOF || strings.Contains(fmt.Sprint(err), "reset")
}

func noContent(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }

var strictLimits = configuration.Limits{MaxHeaderBytes: 1024, MaxBodyBytes: 1, HeaderTimeoutMillis: 100, IdleTimeoutMillis: 100}

// New limits don't end what is under way, and connections that were held end in order.
func TestClientListener_LimitsChangeWithOpenConnections(t *testing.T) {
	is := is.New(t)
	l := listen(t)
	inside, release := make(chan struct{}), make(chan struct{})
	g, _, _ := startClientListener(t, l, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Slow") != "" {
			close(inside)
			<-release
		}
		noContent(w, r)
	})
	idle, busy := dial(t, l.Addr()), dial(t, l.Addr())
	is.Equal(idle.roundTrip(t, "").StatusCode, 204)
	_, err := io.WriteString(busy, "GET /x HTTP/1.1\r\nHost: h\r\nSlow: 1\r\n\r\n")
	is.NoErr(err)
	<-inside
	g.setLimits(strictLimits)
	g.setLimits(strictLimits) // the same again changes nothing
	is.True(idle.closed())
	close(release)
	res := busy.readResponse(t)
	is.Equal(res.StatusCode, 204)
	is.True(res.Close) // its client is told to go
	is.True(busy.closed())
	// The new limits hold for who comes now: a large head, and idling.
	late := dial(t, l.Addr())
	is.Equal(late.roundTrip(t, "").StatusCode, 204)
	is.True(late.closed())
	large := dial(t, l.Addr())
	is.Equal(large.roundTrip(t, "Large: "+strings.Repeat("x", 8000)+"\r\n").StatusCode, 431)
	is.True(large.closed())
	// One that doesn't end its head is let go.
	slow := dial(t, l.Addr())
	_, err = io.WriteString(slow, "GET /x HTTP/1.1\r\n")
	is.NoErr(err)
	_, _ = io.Copy(io.Discard, slow.reader)
	is.True(slow.closed())
}

// While limits change over and over, nobody who comes is sent away unheard.
func TestClientListener_LimitsChangeLosesNoRequest(t *testing.T) {
	is := is.New(t)
	l := listen(t)
	g, _, _ := startClientListener(t, l, noContent)
	var stop atomic.Bool
	changed := make(chan struct{})
	go func() {
		defer close(changed)
		for i := 0; !stop.Load(); i++ {
			limits := configuration.DefaultLimits
			limits.MaxBodyBytes = i
			g.setLimits(limits)
		}
	}()
	for range 100 {
		is.Equal(dial(t, l.Addr()).roundTrip(t, "Connection: close\r\n").StatusCode, 204)
	}
	stop.Store(true)
	<-changed
}

// exhaustedListener is a listener that runs out of descriptors at first.
type exhaustedListener struct {
	net.Listener
	failures atomic.Int64
}

func (s *exhaustedListener) Accept() (net.Conn, error) {
	if s.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return s.Listener.Accept()
}

// A process out of descriptors lets the next one in once it has some again.
func TestClientListener_SurvivesDescriptorExhaustion(t *testing.T) {
	is := is.New(t)
	l := &exhaustedListener{Listener: listen(t)}
	l.failures.Store(3)
	_, cancel, done := startClientListener(t, l, noContent)
	is.Equal(dial(t, l.Addr()).roundTrip(t, "").StatusCode, 204)
	cancel()
	is.Equal(<-done, context.Canceled)
}

// After the polite signal clients are still let in for a moment; what is under
// way ends, and only then the gate.
func TestClientListener_GracefulShutdown(t *testing.T) {
	is := is.New(t)
	l := listen(t)
	inside, release := make(chan struct{}), make(chan struct{})
	g, cancel, done := startClientListener(t, l, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Slow") != "" {
			close(inside)
			<-release
		}
		noContent(w, r)
	})
	busy := dial(t, l.Addr())
	_, err := io.WriteString(busy, "GET /x HTTP/1.1\r\nHost: h\r\nSlow: 1\r\n\r\n")
	is.NoErr(err)
	<-inside
	cancel()
	is.Equal(dial(t, l.Addr()).roundTrip(t, "").StatusCode, 204)
	g.setLimits(strictLimits) // even now, with a request of the server before still under way
	select {
	case <-done:
		t.Fatal("ended with a request under way")
	default:
	}
	close(release)
	is.Equal(busy.readResponse(t).StatusCode, 204)
	is.Equal(<-done, context.Canceled)
}
