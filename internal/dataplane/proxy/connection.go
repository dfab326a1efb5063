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
	// target is the run of the target that the connection was opened to.
	target targetRun
	reader *bufio.Reader
	// headerLimit limits the number of bytes that reader may still read.
	headerLimit *io.LimitedReader
	// idleSince is the time at which the last response was complete.
	idleSince ids.Time
	// maxIdle is the idle time from which on the connection is no longer used.
	maxIdle time.Duration
	// idleBeforeUse is the idle time before the current request; 0 for a new connection.
	idleBeforeUse time.Duration
	// responsive is set if data was read since the current request began, or a read timed
	// out. Otherwise a failed connection was dead before it was used.
	responsive bool
	// requestCount is the number of requests sent on the connection, including the current one.
	requestCount int
	// staleResponses is the number of responses to other requests that were read since the
	// current request began.
	staleResponses int
	// stopWatching stops closing the connection at the end of a context, as begun by
	// closeOnDone; nil if no context is watched.
	stopWatching func() bool
}

// newConnection wraps a network connection to a target.
func newConnection(conn net.Conn, t targets.Target) *connection {
	c := &connection{Conn: conn, target: targetRunOf(t)}
	c.headerLimit = &io.LimitedReader{R: c, N: maxResponseHeader}
	c.reader = bufio.NewReader(c.headerLimit)
	return c
}

// targetRun identifies one run of a target by its address and incarnation. The next run of
// the same instance may be at another address while the earlier one still responds.
type targetRun struct {
	address     ids.Address
	incarnation ids.Incarnation
}

func targetRunOf(t targets.Target) targetRun { return targetRun{t.Address, t.Incarnation} }

// Read reads from the connection and records whether the peer is responsive.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	var netError net.Error
	if n > 0 || errors.As(err, &netError) && netError.Timeout() {
		c.responsive = true
	}
	return n, err
}

// discard closes a connection that is no longer used. It ignores the error of closing, which
// has no bearing on a request.
func (c *connection) discard() { _ = c.Close() }

// closeOnDone closes the connection when the context is canceled, unless release is called
// first.
func (c *connection) closeOnDone(ctx context.Context) {
	c.stopWatching = context.AfterFunc(ctx, c.discard)
}

// release undoes closeOnDone, and reports whether the connection wasn't closed by it. Another
// request may use the connection only after release.
func (c *connection) release() bool {
	stop := c.stopWatching
	c.stopWatching = nil
	return stop == nil || stop()
}

// isOpen reports whether the peer has neither closed the connection nor sent unsolicited
// data, without consuming any data.
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
