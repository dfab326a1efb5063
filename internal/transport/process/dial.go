package process

import (
	"cmp"
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"dunlinwell/internal/base/errs"
	"dunlinwell/internal/base/ids"
)

const (
	// minRedialDelay and maxRedialDelay bound the pause between two dials. A peer that
	// refuses may be about to start, as all do after a loss of the whole fleet, and
	// the first agreement then waits for a chain of several such dials.
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = 200 * time.Millisecond
	// initialDialTimeout bounds the first dials. A machine without power doesn't
	// answer, and the kernel repeats its SYN only after a second; one that gets its
	// power back meanwhile is found sooner by a new dial.
	initialDialTimeout = 300 * time.Millisecond
	// dialTimeout bounds later dials; it bears a slow link.
	dialTimeout = time.Second
	// dialBackoffFactor multiplies delay and time-out after each dial that failed.
	dialBackoffFactor = 2
)

// TCPUserTimeout is the socket option TCP_USER_TIMEOUT of Linux, which package syscall
// lacks.
const TCPUserTimeout = 18

// dialFunc opens a connection to a peer.
type dialFunc func(ctx context.Context, to ids.Address) (net.Conn, error)

// dialBackoff is the state of dialling one peer: the time-out of the next dial, and
// the delay before it.
type dialBackoff struct{ timeout, delay time.Duration }

func newDialBackoff() dialBackoff {
	return dialBackoff{timeout: initialDialTimeout, delay: minRedialDelay}
}

// dial dials once. Success resets the backoff, failure increases it.
func (b *dialBackoff) dial(ctx context.Context, to ids.Address, open dialFunc) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, b.timeout)
	defer cancel()
	c, err := open(ctx, to)
	if err == nil {
		*b = newDialBackoff()
		return c, nil
	}
	b.timeout = min(dialBackoffFactor*b.timeout, dialTimeout)
	b.delay = min(dialBackoffFactor*b.delay, maxRedialDelay)
	return nil, err
}

// dial opens a TCP connection to a peer from this daemon's own IP address, which the
// peer compares with the one in Hello.
func (t *Transport) dial(ctx context.Context, to ids.Address) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, Control: setUserTimeout}
	if local, err := netip.ParseAddrPort(string(cmp.Or(t.Bind, t.Address))); err == nil {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(local.Addr(), 0))
	}
	c, err := d.DialContext(ctx, "tcp", string(to))
	return c, errs.Wrap(err, "dial", string(to))
}

// setUserTimeout lets the kernel give up a connection whose data isn't acknowledged
// within writeTimeout. By default it goes on for a quarter of an hour.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// Without the option the connection still ends, only later.
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, TCPUserTimeout, int(writeTimeout/time.Millisecond))
	})
}
