package proxy

import (
	"bufio"
	"context"
	"errors"
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

	"dunlinwell/internal/base/settings"
	"dunlinwell/internal/state/configuration"
)

// startClientListener serves clients until the test ends or the returned function is
// called; the channel then gives what serve returned.
func startClientListener(t *testing.T, listener net.Listener, h http.HandlerFunc) (*clientListener, context.CancelFunc, chan error) {
	t.Helper()
	clients := newClientListener(listener, h)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- clients.serve(ctx, 300*time.Millisecond) }()
	t.Cleanup(cancel)
	return clients, cancel, done
}

// testClient is a client's connection; every read has a deadline.
type testClient struct {
	net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, address net.Addr) *testClient {
	t.Helper()
	c, err := net.Dial("tcp", address.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	return &testClient{c, bufio.NewReader(c)}
}

func (c *testClient) roundTrip(t *testing.T, header string) *http.Response {
	t.Helper()
	if _, err := io.WriteString(c, "GET /x HTTP/1.1\r\nHost: h\r\n"+header+"\r\n"); err != nil {
		t.Fatal(err)
	}
	return c.readResponse(t)
}

// sendSlow sends a request that slowHandler blocks, and doesn't await the response.
func (c *testClient) sendSlow(t *testing.T) {
	t.Helper()
	if _, err := io.WriteString(c, "GET /x HTTP/1.1\r\nHost: h\r\nSlow: 1\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
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
	return errors.Is(err, io.EOF) || strings.Contains(fmt.Sprint(err), "reset")
}

func noContent(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }

// slowHandler blocks the one request of sendSlow until release is closed; inside is closed
// when that request has arrived.
func slowHandler() (handler http.HandlerFunc, inside, release chan struct{}) {
	inside, release = make(chan struct{}), make(chan struct{})
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Slow") != "" {
			close(inside)
			<-release
		}
		noContent(w, r)
	}, inside, release
}

var strictLimits = configuration.Limits{MaxHeaderBytes: 1024, MaxBodyBytes: 1, HeaderTimeoutMillis: 100, IdleTimeoutMillis: 100}

// Limits that arrive before the first client is served hold from the first client on.
func TestDaemon_LimitsBeforeFirstClient(t *testing.T) {
	is := is.New(t)
	d := NewDaemon(DaemonOptions{Common: settings.Common{Name: "c1", Address: "127.0.0.1:1", HTTPAddress: "127.0.0.1:2", LogLevel: "error"}, ClientListen: "127.0.0.1:0"})
	is.NoErr(d.listenForClients())
	t.Cleanup(func() { _ = d.clientListener.listener.Close() })
	d.execute(UpdateRoutes{View: &configuration.View{Limits: strictLimits}})
	is.Equal(d.clientListener.limits, strictLimits)
}

// New limits don't end requests in flight, and connections of the old server are closed
// when they are idle.
func TestClientListener_LimitsChangeWithOpenConnections(t *testing.T) {
	is := is.New(t)
	l := listen(t)
	handler, inside, release := slowHandler()
	clients, _, _ := startClientListener(t, l, handler)
	idle, busy := dial(t, l.Addr()), dial(t, l.Addr())
	is.Equal(idle.roundTrip(t, "").StatusCode, 204)
	busy.sendSlow(t)
	<-inside
	clients.setLimits(strictLimits)
	clients.setLimits(strictLimits) // the same again changes nothing
	is.True(idle.closed())
	close(release)
	res := busy.readResponse(t)
	is.Equal(res.StatusCode, 204)
	is.True(res.Close) // its client is told not to use it again
	is.True(busy.closed())
	// The new limits hold for new connections: a large header, and idling.
	late := dial(t, l.Addr())
	is.Equal(late.roundTrip(t, "").StatusCode, 204)
	is.True(late.closed())
	large := dial(t, l.Addr())
	is.Equal(large.roundTrip(t, "Large: "+strings.Repeat("x", 8000)+"\r\n").StatusCode, 431)
	is.True(large.closed())
	// One that doesn't end its header is closed.
	slow := dial(t, l.Addr())
	_, err := io.WriteString(slow, "GET /x HTTP/1.1\r\n")
	is.NoErr(err)
	_, _ = io.Copy(io.Discard, slow.reader)
	is.True(slow.closed())
}

// While limits change over and over, no request is lost.
func TestClientListener_LimitsChangeLosesNoRequest(t *testing.T) {
	is := is.New(t)
	l := listen(t)
	clients, _, _ := startClientListener(t, l, noContent)
	var stop atomic.Bool
	changed := make(chan struct{})
	go func() {
		defer close(changed)
		for i := 0; !stop.Load(); i++ {
			limits := configuration.DefaultLimits
			limits.MaxBodyBytes = i
			clients.setLimits(limits)
		}
	}()
	for range 100 {
		is.Equal(dial(t, l.Addr()).roundTrip(t, "Connection: close\r\n").StatusCode, 204)
	}
	stop.Store(true)
	<-changed
}

// exhaustedListener fails to accept for lack of file descriptors at first.
type exhaustedListener struct {
	net.Listener
	failures atomic.Int64
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// A process out of file descriptors accepts the next connection once it has some again.
func TestClientListener_SurvivesDescriptorExhaustion(t *testing.T) {
	is := is.New(t)
	l := &exhaustedListener{Listener: listen(t)}
	l.failures.Store(3)
	_, cancel, done := startClientListener(t, l, noContent)
	is.Equal(dial(t, l.Addr()).roundTrip(t, "").StatusCode, 204)
	cancel()
	is.Equal(<-done, context.Canceled)
}

// After the signal to stop, clients are still accepted for a moment; requests in flight end,
// and only then does the listener.
func TestClientListener_GracefulShutdown(t *testing.T) {
	is := is.New(t)
	l := listen(t)
	handler, inside, release := slowHandler()
	clients, cancel, done := startClientListener(t, l, handler)
	busy := dial(t, l.Addr())
	busy.sendSlow(t)
	<-inside
	cancel()
	is.Equal(dial(t, l.Addr()).roundTrip(t, "").StatusCode, 204)
	clients.setLimits(strictLimits) // even now, with a request of the earlier server in flight
	select {
	case err := <-done:
		t.Fatalf("ended with a request in flight: %v", err)
	default:
	}
	close(release)
	is.Equal(busy.readResponse(t).StatusCode, 204)
	is.Equal(<-done, context.Canceled)
}
