package proxy

import (
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// pastDeadline is a deadline that ends a pending read at once.
var pastDeadline = time.Unix(1, 0)

// clientConn is a client's connection that can be ended while it is idle
// without losing a request: either its pending read ends with nothing read, or
// the request that was read is answered. Closing it, as net/http does with idle
// connections, loses one that was read just before.
type clientConn struct {
	net.Conn
	mu sync.Mutex
	// idle: between two requests. read: something of the next one was read.
	idle, reading bool
	// ending: to be ended as soon as it is idle. expired: its read is being ended.
	closing, readExpired bool
	// readDeadline is the server's own for reading.
	readDeadline time.Time
}

func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case n > 0 && c.readExpired:
		// The request came first: it is read to its end and answered.
		c.readExpired = false
		_ = c.Conn.SetReadDeadline(c.readDeadline)
		c.reading = true
	case n > 0:
		c.reading = true
	case c.readExpired:
		return 0, io.EOF
	}
	return n, err
}

// SetReadDeadline sets the server's deadline, unless the read is being ended.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.readExpired {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// setIdle notes that a request has ended, or begun.
func (c *clientConn) setIdle(idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = idle
	if idle {
		c.reading = false
		c.expireRead()
	}
}

// closeWhenIdle ends the connection now if it is idle, or else once it is.
func (c *clientConn) closeWhenIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	c.expireRead()
}

func (c *clientConn) expireRead() {
	if c.closing && c.idle && !c.reading {
		c.readExpired = true
		_ = c.Conn.SetReadDeadline(pastDeadline)
	}
}

// clientServer is one HTTP server, with its limits, and the connections that it holds.
type clientServer struct {
	server   *http.Server
	listener *connQueue
	draining atomic.Bool
	mu       sync.Mutex
	conns    map[*clientConn]bool
}

// drain lets a door end: who is idle goes now, the others with their answer.
func (d *clientServer) drain() {
	d.draining.Store(true)
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.conns {
		c.closeWhenIdle()
	}
}

// trackConn keeps account of the door's connections.
func (d *clientServer) trackConn(conn net.Conn, s http.ConnState) {
	c, ok := conn.(*clientConn)
	if !ok {
		return
	}
	switch s {
	case http.StateNew:
		d.mu.Lock()
		d.conns[c] = true
		d.mu.Unlock()
		if d.draining.Load() {
			c.closeWhenIdle()
		}
	case http.StateClosed, http.StateHijacked:
		d.mu.Lock()
		delete(d.conns, c)
		d.mu.Unlock()
	default:
		c.setIdle(s == http.StateIdle)
	}
}

// wrapHandler tells clients of an ending door to go with their answer.
func (d *clientServer) wrapHandler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.ServeHTTP(&drainingWriter{ResponseWriter: w, server: d}, r)
	})
}

// drainingWriter sets Connection: close on an answer as it begins, if the door is
// ending by then.
type drainingWriter struct {
	http.ResponseWriter
	server        *clientServer
	headerWritten bool
}

func (l *drainingWriter) WriteHeader(status int) {
	l.headerWritten = true
	if l.server.draining.Load() {
		l.Header().Set("Connection", "close")
	}
	l.ResponseWriter.WriteHeader(status)
}

func (l *drainingWriter) Write(p []byte) (int, error) {
	if !l.headerWritten {
		l.WriteHeader(http.StatusOK)
	}
	return l.ResponseWriter.Write(p)
}

// Unwrap lets an http.ResponseController reach the server's own writer.
func (l *drainingWriter) Unwrap() http.ResponseWriter { return l.ResponseWriter }
