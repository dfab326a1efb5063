package proxy

import (
	"io"
	"net"
	"sync"
	"time"
)

// pastDeadline is a deadline that makes a pending read fail immediately.
var pastDeadline = time.Unix(1, 0)

// clientConn is a client connection that can be closed while idle without losing a request:
// either the pending read ends with no data, or the request that was read gets its response.
// Closing the connection directly, as net/http does with idle connections, would lose a
// request that was read just before.
type clientConn struct {
	net.Conn
	mu sync.Mutex
	// idle is set while the server waits for the next request, reading once part of that
	// request was read.
	idle, reading bool
	// closing is set if the connection is to be closed when it becomes idle, readExpired
	// while its pending read is being ended.
	closing, readExpired bool
	// readDeadline is the deadline set by the server.
	readDeadline time.Time
	// lastReadOutcome is the outcome of the last read.
	lastReadOutcome readOutcome
}

func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastReadOutcome = readOutcomeOf(err)
	switch {
	case n > 0 && c.readExpired:
		// The request arrived before the read expired, so it is read and answered.
		c.readExpired = false
		// On a closed connection the next read fails as well.
		_ = c.Conn.SetReadDeadline(c.readDeadline)
		c.reading = true
	case n > 0:
		c.reading = true
	case c.readExpired:
		return 0, io.EOF
	}
	return n, err
}

// readOutcome returns the outcome of the last read.
func (c *clientConn) readOutcome() readOutcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastReadOutcome
}

// SetReadDeadline sets the read deadline, unless the pending read is being ended.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.readExpired {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// setIdle records that a request has ended (true) or begun (false).
func (c *clientConn) setIdle(idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = idle
	if idle {
		c.reading = false
		c.expireRead()
	}
}

// closeWhenIdle closes the connection immediately if it is idle, otherwise when it becomes
// idle.
func (c *clientConn) closeWhenIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	c.expireRead()
}

// expireRead ends the pending read of an idle connection that is to be closed. The server
// then closes the connection. c.mu must be held.
func (c *clientConn) expireRead() {
	if c.closing && c.idle && !c.reading {
		c.readExpired = true
		// A closed connection has no pending read.
		_ = c.Conn.SetReadDeadline(pastDeadline)
	}
}
