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

// startClientListener serves clients until the test ends or the returned function is called.
// The channel then receives the error returned by serve.
func startClientListener(t *testing.T, listener net.Listener, h http.HandlerFunc) (*clientListener, context.CancelFunc, chan error) {
	t.Helper()
	clients := newClientListener(listener, h)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- clients.serve(ctx, 300*time.Millisecond) }()
	t.Cleanup(cancel)
	return clients, cancel, done
}

// testClient is a client connection with a deadline for all reads and writes.
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

// sendSlow sends a request that slowHandler blocks, without waiting for the response.
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

// slowHandler returns a handler that blocks the request of sendSlow until release is closed.
// arrived is closed when that request has arrived.
func slowHandler() (handler http.HandlerFunc, arrived, release chan struct{}) {
	arrived, release = make(chan struct{}), make(chan struct{})
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Slow") != "" {
			close(arrived)
			<-release
		}
		noContent(w, r)
	}, arrived, release
}

var strictLimits = configuration.Limits{MaxHeaderBytes: 1024, MaxBodyBytes: 1, HeaderTimeoutMillis: 100, IdleTimeoutMillis: 100}

// Limits received before the first client is served apply from the first client on.
func TestDaemon_LimitsBeforeFirstClient(t *testing.T) {
	is := is.New(t)
	d := NewDaemon(DaemonOptions{Common: settings.Common{Name: "c1", Address: "127.0.0.1:1", HTTPAddress: "127.0.0.1:2", LogLevel: "error"}, ClientListen: "127.0.0.1:0"})
	is.NoErr(d.listenForClients())
	t.Cleanup(func() { _ = d.clientListener.listener.Close() })
	d.execute(UpdateRoutes{View: &configuration.View{Limits: strictLimits}})
	is.Equal(d.clientListener.limits, strictLimits)
}

// New limits don't interrupt requests in flight, and connections of the old server are closed
// when they are idle.
func TestClientListener_LimitsChangeWithOpenConnections(t *testing.T) {
	is := is.New(t)
	l := listen(t)
	handler, arrived, release := slowHandler()
	clients, _, _ := startClientListener(t, l, handler)
	idle, busy := dial(t, l.Addr()), dial(t, l.Addr())
	is.Equal(idle.roundTrip(t, "").StatusCode, 204)
	busy.sendSlow(t)
	<-arrived
	clients.setLimits(strictLimits)
	clients.setLimits(strictLimits) // unchanged limits have no effect
	is.True(idle.closed())
	close(release)
	res := busy.readResponse(t)
	is.Equal(res.StatusCode, 204)
	is.True(res.Close) // Connection: close was sent
	is.True(busy.closed())
	// The new limits apply to new connections: idle timeout and header size.
	late := dial(t, l.Addr())
	is.Equal(late.roundTrip(t, "").StatusCode, 204)
	is.True(late.closed())
	large := dial(t, l.Addr())
	is.Equal(large.roundTrip(t, "Large: "+strings.Repeat("x", 8000)+"\r\n").StatusCode, 431)
	is.True(large.closed())
	// A connection with an incomplete header is closed after the header timeout.
	slow := dial(t, l.Addr())
	_, err := io.WriteString(slow, "GET /x HTTP/1.1\r\n")
	is.NoErr(err)
	_, _ = io.Copy(io.Discard, slow.reader)
	is.True(slow.closed())
}

// No request is lost while the limits change repeatedly.
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

// exhaustedListener fails the first calls of Accept with EMFILE.
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

// A process that ran out of file descriptors accepts connections again once some are free.
func TestClientListener_SurvivesDescriptorExhaustion(t *testing.T) {
	is := is.New(t)
	l := &exhaustedListener{Listener: listen(t)}
	l.failures.Store(3)
	_, cancel, done := startClientListener(t, l, noContent)
	is.Equal(dial(t, l.Addr()).roundTrip(t, "").StatusCode, 204)
	cancel()
	is.Equal(<-done, context.Canceled)
}

// After the signal to stop, clients are still accepted for the lame-duck period, and serve
// returns only after the requests in flight have finished.
func TestClientListener_GracefulShutdown(t *testing.T) {
	is := is.New(t)
	l := listen(t)
	handler, arrived, release := slowHandler()
	clients, cancel, done := startClientListener(t, l, handler)
	busy := dial(t, l.Addr())
	busy.sendSlow(t)
	<-arrived
	cancel()
	is.Equal(dial(t, l.Addr()).roundTrip(t, "").StatusCode, 204)
	clients.setLimits(strictLimits) // leaves a request in flight on the previous server
	select {
	case err := <-done:
		t.Fatalf("serve returned with a request in flight: %v", err)
	default:
	}
	close(release)
	is.Equal(busy.readResponse(t).StatusCode, 204)
	is.Equal(<-done, context.Canceled)
}
