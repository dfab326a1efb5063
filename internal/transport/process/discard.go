package process

import (
	"net"
	"net/netip"
	"strings"
	"sync"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/transport/wire"
)

// mostNamed bounds the peers that are remembered as having been logged.
const mostNamed = 4096

// logOnce remembers what was logged, so that a peer that goes on sending
// nonsense costs one line for each kind of it.
type logOnce struct {
	mu   sync.Mutex
	seen map[[2]string]bool
}

// first tells whether this peer wasn't logged for this reason before.
func (l *logOnce) first(peer, reason string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := [2]string{peer, reason}
	if l.seen[key] || len(l.seen) >= mostNamed {
		return false
	}
	if l.seen == nil {
		l.seen = map[[2]string]bool{}
	}
	l.seen[key] = true
	return true
}

// Reasons that the transport itself has to discard a frame or a connection.
const (
	malformed   event.Reason = "malformed frame"
	unknownKind event.Reason = "unknown kind"
	badHello    event.Reason = "bad hello"
	noHello     event.Reason = "no hello"
)

// Discard counts a message that a machine took no notice of, and logs the
// first of its peer.
func (p *Transport) Discard(d event.Discarded) {
	p.discard(string(d.From), d.Reason, wire.KindOfMessage(d.Msg), 0, "")
}

func (p *Transport) discard(peer string, why event.Reason, kind wire.Kind, size int, problem string) {
	p.Stats.count(Direction("discarded_"+strings.ReplaceAll(string(why), " ", "_")), kind, size)
	if p.logged.first(peer, string(why)) {
		p.Log.Event(event.LevelWarn, "message discarded", "peer", peer, "reason", string(why), "kind", kind.Name(), "error", problem)
	}
}

// admits tells whether a peer may be who it says it is. Nobody speaks for this
// very daemon over a connection, and, unless addresses are mapped on the way
// (which is what Bind is for), a peer dials from the address that it names.
func (p *Transport) admits(hello ids.Address, remote net.Addr) bool {
	named, err := netip.ParseAddrPort(string(hello))
	if err != nil || hello == p.Address {
		return false
	}
	from, err := netip.ParseAddrPort(remote.String())
	return err != nil || p.Bind != "" || named.Addr().Unmap() == from.Addr().Unmap()
}

// host is a peer before it has said who it is; its port is new each time.
func host(remote net.Addr) string {
	h, _, err := net.SplitHostPort(remote.String())
	if err != nil {
		return remote.String()
	}
	return h
}
