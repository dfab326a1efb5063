package proxy

import (
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// longAgo is a deadline that ends a pending read at once.
var longAgo = time.Unix(1, 0)

// clientConn is a consumer's connection that can be ended while it is idle
// without losing a request: either its pending read ends with nothing read, or
// the request that was read is answered. Closing it, as net/http does with idle
// connections, loses one that was read just before.
type clientConn struct {
	net.Conn
	mu sync.Mutex
	// idle: between two requests. read: something of the next one was read.
	idle, read bool
	// ending: to be ended as soon as it is idle. expired: its read is being ended.
	ending, expired bool
	// deadline is the server's own for reading.
	deadline time.Time
}

func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case n > 0 && c.expired:
		// The request came first: it is read to its end and answered.
		c.expired = false
		_ = c.Conn.SetReadDeadline(c.deadline)
		c.read = true
	case n > 0:
		c.read = true
	case c.expired:
		return 0, io.EOF
	}
	return n, err
}

// SetReadDeadline sets the server's deadline, unless the read is being ended.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.expired {
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
		c.read = false
		c.expire()
	}
}

// end ends the connection now if it is idle, or else once it is.
func (c *clientConn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = true
	c.expire()
}

func (c *clientConn) expire() {
	if c.ending && c.idle && !c.read {
		c.expired = true
		_ = c.Conn.SetReadDeadline(longAgo)
	}
}

// door is one HTTP server, with its limits, and the connections that it holds.
type door struct {
	server *http.Server
	queue  *queue
	ending atomic.Bool
	mu     sync.Mutex
	conns  map[*clientConn]bool
}

// end lets a door end: who is idle goes now, the others with their answer.
func (d *door) end() {
	d.ending.Store(true)
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.conns {
		c.end()
	}
}

// follow keeps account of the door's connections.
func (d *door) follow(conn net.Conn, s http.ConnState) {
	c, ok := conn.(*clientConn)
	if !ok {
		return
	}
	switch s {
	case http.StateNew:
		d.mu.Lock()
		d.conns[c] = true
		d.mu.Unlock()
		if d.ending.Load() {
			c.end()
		}
	case http.StateClosed, http.StateHijacked:
		d.mu.Lock()
		delete(d.conns, c)
		d.mu.Unlock()
	default:
		c.setIdle(s == http.StateIdle)
	}
}

// handler tells consumers of an ending door to go with their answer.
func (d *door) handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.ServeHTTP(&lastAnswer{ResponseWriter: w, door: d}, r)
	})
}

// lastAnswer sets Connection: close on an answer as it begins, if the door is
// ending by then.
type lastAnswer struct {
	http.ResponseWriter
	door  *door
	begun bool
}

func (l *lastAnswer) WriteHeader(status int) {
	l.begun = true
	if l.door.ending.Load() {
		l.Header().Set("Connection", "close")
	}
	l.ResponseWriter.WriteHeader(status)
}

func (l *lastAnswer) Write(p []byte) (int, error) {
	if !l.begun {
		l.WriteHeader(http.StatusOK)
	}
	return l.ResponseWriter.Write(p)
}

// Unwrap lets an http.ResponseController reach the server's own writer.
func (l *lastAnswer) Unwrap() http.ResponseWriter { return l.ResponseWriter }
