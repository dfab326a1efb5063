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

// receive reads one peer's connection to its end. A malformed frame or a false Hello
// closes it.
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
			// A newer version may send kinds that this one doesn't know.
			t.discard(remote, unknownKind, header.Kind, header.Size(), "")
		case from == "":
			t.discard(remote, noHello, header.Kind, header.Size(), "")
		default:
			t.Deliver(from, msg)
		}
	}
}

// acceptsHello reports whether a peer may be who it says it is. Nobody speaks for this
// very daemon over a connection, and a peer dials from the IP address that it names
// unless addresses are mapped on the way (Bind).
func (t *Transport) acceptsHello(hello ids.Address, remote net.Addr) bool {
	claimed, err := netip.ParseAddrPort(string(hello))
	if err != nil || hello == t.Address {
		return false
	}
	from, err := netip.ParseAddrPort(remote.String())
	return err != nil || t.Bind != "" || claimed.Addr().Unmap() == from.Addr().Unmap()
}

// remoteHost names a peer that hasn't said who it is. Its port is left out, as it is
// another for each connection.
func remoteHost(remote net.Addr) string {
	host, _, err := net.SplitHostPort(remote.String())
	if err != nil {
		return remote.String()
	}
	return host
}

// isConnectionEnd reports whether an error means that a connection ended, as it does
// whenever a peer stops, and not that the peer sent something wrong.
func isConnectionEnd(err error) bool {
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, net.ErrClosed, syscall.ECONNRESET} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}
