package process

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"syscall"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/transport/wire"
)

// receive reads messages from a peer's connection until it is closed. It closes the
// connection after a malformed frame or an invalid Hello.
func (t *Transport) receive(ctx context.Context, c net.Conn) {
	defer func() { _ = c.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	remote := remoteHost(c.RemoteAddr())
	r := bufio.NewReaderSize(c, bufferSize)
	var from ids.Address
	for {
		header, msg, err := wire.Read(r)
		if err != nil {
			if ctx.Err() == nil && !isConnectionEnd(err) {
				t.discard(remote, malformedFrame, header.Kind, 0, err.Error())
			}
			return
		}
		t.Stats.count(Received, header.Kind, header.Size())
		hello, isHello := msg.(Hello)
		switch {
		case isHello && from == "" && t.acceptsHello(hello.Address, c.RemoteAddr()):
			from = hello.Address
			t.acceptsDeflated.Store(from, hello.AcceptsDeflated)
		case isHello:
			t.discard(remote, badHello, header.Kind, header.Size(), string(hello.Address))
			return
		case msg == nil:
			// Peers of a newer version may send kinds that this version doesn't know.
			t.discard(remote, unknownKind, header.Kind, header.Size(), "")
		case from == "":
			t.discard(remote, noHello, header.Kind, header.Size(), "")
		default:
			t.Deliver(from, msg)
		}
	}
}

// acceptsHello reports whether the address in a peer's Hello is plausible: it isn't that of
// this daemon, and has the IP address of the connection, unless addresses are translated
// between daemons (Bind).
func (t *Transport) acceptsHello(hello ids.Address, remote net.Addr) bool {
	claimed, err := netip.ParseAddrPort(string(hello))
	if err != nil || hello == t.Address {
		return false
	}
	from, err := netip.ParseAddrPort(remote.String())
	return err != nil || t.Bind != "" || claimed.Addr().Unmap() == from.Addr().Unmap()
}

// remoteHost returns the host of a connection's remote address, without the port, which
// differs for each connection.
func remoteHost(remote net.Addr) string {
	host, _, err := net.SplitHostPort(remote.String())
	if err != nil {
		return remote.String()
	}
	return host
}

// isConnectionEnd reports whether an error means that the connection was closed or reset,
// and not that the peer sent invalid data.
func isConnectionEnd(err error) bool {
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, net.ErrClosed, syscall.ECONNRESET} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}
