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
	// minRedialDelay and maxRedialDelay limit the backoff between two dials. The maximum
	// is short because, after a power loss of the whole fleet, the first quorum needs
	// several successive connections to peers that are still starting.
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = 200 * time.Millisecond
	// initialDialTimeout is the timeout of the first dial. It is shorter than the kernel's
	// SYN retransmission timeout of 1 s, so that a peer that starts in the meantime is
	// reached sooner by a new dial.
	initialDialTimeout = 300 * time.Millisecond
	// dialTimeout is the maximum timeout of later dials. It allows for slow links.
	dialTimeout = time.Second
	// dialBackoffFactor multiplies the delay and the timeout after each failed dial.
	dialBackoffFactor = 2
)

// TCPUserTimeout is the Linux socket option TCP_USER_TIMEOUT, which package syscall doesn't
// define.
const TCPUserTimeout = 18

// dialFunc opens a connection to a peer.
type dialFunc func(ctx context.Context, to ids.Address) (net.Conn, error)

// dialBackoff holds the timeout of the next dial of a peer, and the delay before it.
type dialBackoff struct{ timeout, delay time.Duration }

func newDialBackoff() dialBackoff {
	return dialBackoff{timeout: initialDialTimeout, delay: minRedialDelay}
}

// dial dials once. It resets the backoff on success and increases it on failure.
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

// dial opens a TCP connection to a peer from this daemon's own IP address, which the peer
// compares with the one in Hello.
func (t *Transport) dial(ctx context.Context, to ids.Address) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, Control: setUserTimeout}
	if local, err := netip.ParseAddrPort(string(cmp.Or(t.Bind, t.Address))); err == nil {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(local.Addr(), 0))
	}
	c, err := d.DialContext(ctx, "tcp", string(to))
	return c, errs.Wrap(err, "dial", string(to))
}

// setUserTimeout makes the kernel close a connection if sent data isn't acknowledged within
// writeTimeout, instead of after about 15 minutes.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// An error is ignored: without the option, the connection only closes later.
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, TCPUserTimeout, int(writeTimeout/time.Millisecond))
	})
}
