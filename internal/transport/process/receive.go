package process

import (
	"bufio"
	"context"
	"net"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/transport/wire"
)

// receive reads one peer's connection. A malformed frame closes it, and so does
// a hello that can't be true.
func (t *Transport) receive(ctx context.Context, c net.Conn) {
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	r := bufio.NewReaderSize(c, 64<<10)
	var from ids.Address
	for {
		head, msg, err := wire.Read(r)
		if err != nil {
			if ctx.Err() == nil && !isConnectionEnd(err) {
				t.discard(remoteHost(c.RemoteAddr()), malformed, head.Kind, 0, err.Error())
			}
			return
		}
		t.Stats.count(Received, head.Kind, head.Size())
		hello, greets := msg.(Hello)
		switch {
		case greets && from == "" && t.acceptsHello(hello.Address, c.RemoteAddr()):
			from = hello.Address
			t.acceptsDeflated.Store(from, hello.AcceptsDeflated)
		case greets:
			t.discard(remoteHost(c.RemoteAddr()), badHello, head.Kind, head.Size(), string(hello.Address))
			return
		case msg == nil:
			// A newer version may say things that this one doesn't know yet.
			t.discard(remoteHost(c.RemoteAddr()), unknownKind, head.Kind, head.Size(), "")
		case from == "":
			t.discard(remoteHost(c.RemoteAddr()), noHello, head.Kind, head.Size(), "")
		default:
			t.Deliver(from, msg)
		}
	}
}
