package proxy

import (
	"bytes"
	"errors"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

const getRequest = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n"

// scriptedConn is a client connection whose reads are served by a sequence of functions.
type scriptedConn struct {
	net.Conn
	script    chan func(p []byte) (int, error)
	mu        sync.Mutex
	written   bytes.Buffer
	closed    chan struct{}
	closeOnce sync.Once
	// readExpired ends a pending read.
	readExpired chan struct{}
}

func newScriptedConn(script ...func(p []byte) (int, error)) *scriptedConn {
	c := &scriptedConn{script: make(chan func([]byte) (int, error), len(script)), closed: make(chan struct{}), readExpired: make(chan struct{}, 8)}
	for _, s := range script {
		c.script <- s
	}
	return c
}

func (c *scriptedConn) Read(p []byte) (int, error) {
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	default:
	}
	script := c.script
	if len(p) == 1 {
		// This is net/http's background read, which only detects a disconnect.
		script = nil
	}
	select {
	case s := <-script:
		return s(p)
	case <-c.readExpired:
		return 0, os.ErrDeadlineExceeded
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

func (c *scriptedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	default:
	}
	return c.written.Write(p)
}

func (c *scriptedConn) Close() error { c.closeOnce.Do(func() { close(c.closed) }); return nil }

func (c *scriptedConn) SetReadDeadline(t time.Time) error {
	if !t.IsZero() && t.Before(time.Now()) {
		c.readExpired <- struct{}{}
	}
	return nil
}

func (c *scriptedConn) SetWriteDeadline(time.Time) error { return nil }
func (c *scriptedConn) SetDeadline(time.Time) error      { return nil }
func (c *scriptedConn) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (c *scriptedConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }

// singleConnListener is a listener that returns the connections of a channel.
type singleConnListener struct {
	net.Listener
	conns chan net.Conn
}

func (l *singleConnListener) Accept() (net.Conn, error) {
	if c, ok := <-l.conns; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}

func (l *singleConnListener) Close() error { return nil }

// Guards against losing the response of a request that is read while its idle connection is
// being closed, because of new limits or a shutdown.
func TestClientListener_AnswersRequestReadWhileConnectionCloses(t *testing.T) {
	is := is.New(t)
	l := &singleConnListener{conns: make(chan net.Conn, 1)}
	var clients *clientListener
	ready := make(chan struct{})
	send := func(s string) func([]byte) (int, error) {
		return func(p []byte) (int, error) { return copy(p, s), nil }
	}
	// The limits change while the second request is being read.
	c := newScriptedConn(send(getRequest), func(p []byte) (int, error) {
		<-ready
		n := copy(p, getRequest)
		clients.setLimits(strictLimits)
		return n, nil
	})
	ran := make(chan struct{}, 2)
	clients = newClientListener(l, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		ran <- struct{}{}
		w.WriteHeader(http.StatusOK)
	}))
	l.conns <- c
	done := make(chan error, 1)
	go func() { done <- clients.serve(t.Context(), 300*time.Millisecond) }()
	<-ran
	close(ready)
	<-ran
	select {
	case <-c.closed:
	case <-time.After(10 * time.Second):
		t.Fatal("connection not closed within 10 s")
	}
	close(l.conns)
	is.True(errors.Is(<-done, net.ErrClosed))
	c.mu.Lock()
	defer c.mu.Unlock()
	is.Equal(strings.Count(c.written.String(), "HTTP/1.1 200"), 2) // both responses
	is.Equal(strings.Count(c.written.String(), "Connection: close"), 1)
}

// closeWhenIdle closes an idle connection immediately and a busy one after its response.
func TestClientConn_ClosesWhenIdle(t *testing.T) {
	is := is.New(t)
	inner := newScriptedConn()
	c := &clientConn{Conn: inner}
	c.setIdle(false)
	c.closeWhenIdle()
	is.Equal(len(inner.readExpired), 0) // busy
	c.setIdle(true)
	is.Equal(len(inner.readExpired), 1)
	_ = c.SetReadDeadline(time.Now().Add(time.Hour)) // must not override the expired deadline
	n, err := c.Read(make([]byte, 8))
	is.Equal(n, 0)
	is.Equal(err.Error(), "EOF")
}
