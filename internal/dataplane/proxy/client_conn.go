package proxy

import (
	"io"
	"net"
	"sync"
	"time"
)

// pastDeadline is a deadline that ends a pending read at once.
var pastDeadline = time.Unix(1, 0)

// clientConn is a client's connection that can be closed while it is idle without losing
// a request: either its pending read ends with nothing read, or the request that was read
// is answered. Closing the connection itself, as net/http does with idle ones, would lose
// a request that was read just before.
type clientConn struct {
	net.Conn
	mu sync.Mutex
	// idle: the server waits for the next request. reading: something of that has been read.
	idle, reading bool
	// closing: to be closed as soon as it is idle. readExpired: its read is being ended.
	closing, readExpired bool
	// readDeadline is the one that the server has set.
	readDeadline time.Time
	// lastReadEnd is how the last read ended.
	lastReadEnd readEnd
}

func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastReadEnd = readEndOf(err)
	switch {
	case n > 0 && c.readExpired:
		// The request came before the read was ended: it is read whole and answered.
		c.readExpired = false
		// On a closed connection the next read fails anyway.
		_ = c.Conn.SetReadDeadline(c.readDeadline)
		c.reading = true
	case n > 0:
		c.reading = true
	case c.readExpired:
		return 0, io.EOF
	}
	return n, err
}

// readEnd returns how the last read ended.
func (c *clientConn) readEnd() readEnd {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastReadEnd
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

// closeWhenIdle closes the connection now if it is idle, or else once it is.
func (c *clientConn) closeWhenIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	c.expireRead()
}

// expireRead ends the pending read of a connection that is to be closed. The server then
// closes it. The caller holds the lock.
func (c *clientConn) expireRead() {
	if c.closing && c.idle && !c.reading {
		c.readExpired = true
		// On a closed connection there is no read to end.
		_ = c.Conn.SetReadDeadline(pastDeadline)
	}
}
