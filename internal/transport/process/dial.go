package process

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"dunlinwell/internal/base/errs"
	"dunlinwell/internal/base/ids"
)

func (t *Transport) dial(ctx context.Context, to ids.Address) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, Control: func(_, _ string, raw syscall.RawConn) error {
		// A connection that a cut has swallowed must end soon, not after the
		// kernel's own quarter of an hour.
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, TCPUserTimeout, int(writeTimeout/time.Millisecond))
		})
	}}
	if a, err := netip.ParseAddrPort(string(t.Address)); err == nil && t.Bind == "" {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(a.Addr(), 0))
	} else if a, err := netip.ParseAddrPort(string(t.Bind)); err == nil {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(a.Addr(), 0))
	}
	c, err := d.DialContext(ctx, "tcp", string(to))
	return c, errs.Wrap(err, "dial", string(to))
}
