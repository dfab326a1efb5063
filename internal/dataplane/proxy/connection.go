package proxy

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/targets"
)

// connection is a connection to a target. It carries one request at a time.
type connection struct {
	net.Conn
	// target is the run of the target that the connection leads to.
	target targetRun
	reader *bufio.Reader
	// headerLimit bounds what reader may still read, in bytes.
	headerLimit *io.LimitedReader
	// idleSince is when the last response on it was complete.
	idleSince ids.Time
	// maxIdle is how long it may be idle and still be used.
	maxIdle time.Duration
	// idleBeforeUse is how long it had been idle before the current request; 0 for a
	// new connection.
	idleBeforeUse time.Duration
	// responsive: something was read since the current request began, or reading timed
	// out. If not, the connection was dead before it was used.
	responsive bool
	// stopWatching ends what closeOnEnd began; nil if there is nothing to end.
	stopWatching func() bool
}

// newConnection wraps a network connection to a target.
func newConnection(conn net.Conn, t targets.Target) *connection {
	c := &connection{Conn: conn, target: targetRunOf(t)}
	c.headerLimit = &io.LimitedReader{R: c, N: maxResponseHeader}
	c.reader = bufio.NewReader(c.headerLimit)
	return c
}

// targetRun is one run of a target, at its address. The next run of the same instance may
// be at another address while the earlier one still answers.
type targetRun struct {
	address     ids.Address
	incarnation ids.Incarnation
}

func targetRunOf(t targets.Target) targetRun { return targetRun{t.Address, t.Incarnation} }

// Read notes whether the peer still answers.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	var netError net.Error
	if n > 0 || errors.As(err, &netError) && netError.Timeout() {
		c.responsive = true
	}
	return n, err
}

// discard closes a connection that is not used any more. An error of closing it says
// nothing about a request.
func (c *connection) discard() { _ = c.Close() }

// closeOnEnd has the connection closed when a context ends, until it is released.
func (c *connection) closeOnEnd(ctx context.Context) {
	c.stopWatching = context.AfterFunc(ctx, c.discard)
}

// release ends what closeOnEnd began, and tells whether the connection wasn't closed by it.
// Only after that may another request use it.
func (c *connection) release() bool {
	stop := c.stopWatching
	c.stopWatching = nil
	return stop == nil || stop()
}

// isOpen looks, without reading anything, whether the peer has neither closed the
// connection nor sent anything unasked.
func (c *connection) isOpen() bool {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok || c.reader.Buffered() > 0 {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var peeked [1]byte
		_, _, errno := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(errno, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}
