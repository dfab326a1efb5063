package proxy

import (
	"bufio"
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/targets"
)

// connection is one held connection to a target that has shown who it is.
type connection struct {
	net.Conn
	// target is what the connection leads to.
	target      targetRun
	reader      *bufio.Reader
	headerLimit *io.LimitedReader
	idleSince   ids.Time
	// maxIdle is how long it may be idle and still be used.
	maxIdle time.Duration
	// idleBeforeUse is how long it had been idle before the request now on it; 0 for a
	// new connection.
	idleBeforeUse time.Duration
	// heard: something came back for the request now on it, or its time ran out
	// in silence.
	responsive bool
}

// targetRun is one run of a target, at its address. The next run of the same
// instance may be elsewhere, while the earlier one still answers.
type targetRun struct {
	address     ids.Address
	incarnation ids.Incarnation
}

func targetRunOf(t targets.Target) targetRun { return targetRun{t.Address, t.Incarnation} }

// take gives an idle connection to this very run of a target.
func (p *connectionPool) take(t targets.Target, careful bool) *connection {
	for {
		c := p.takeAny(t.Instance, careful)
		if c == nil || c.target == targetRunOf(t) {
			return c
		}
		c.Close()
	}
}

// Read notes whether anything came back: a connection that ends before that was
// dead as it was used.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	var slow net.Error
	if n > 0 || errors.As(err, &slow) && slow.Timeout() {
		c.responsive = true
	}
	return n, err
}

// isOpen looks, without taking anything, whether the peer closed or spoke out
// of turn; either way the connection is no good.
func (c *connection) isOpen() bool {
	s, ok := c.Conn.(syscall.Conn)
	if !ok || c.reader.Buffered() > 0 {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = e == syscall.EAGAIN
		return true
	})
	return err == nil && open
}
