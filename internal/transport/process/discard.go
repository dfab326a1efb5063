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

// maxLoggedPeers bounds the peers that are remembered as having been logged.
const maxLoggedPeers = 4096

// logOnce remembers what was logged, so that a peer that goes on sending
// nonsense costs one line for each kind of it.
type logOnce struct {
	mu   sync.Mutex
	seen map[[2]string]bool
}

// firstTime tells whether this peer wasn't logged for this reason before.
func (l *logOnce) firstTime(peer, reason string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := [2]string{peer, reason}
	if l.seen[key] || len(l.seen) >= maxLoggedPeers {
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
func (t *Transport) Discard(d event.Discarded) {
	t.discard(string(d.From), d.Reason, wire.KindOfMessage(d.Msg), 0, "")
}

func (t *Transport) discard(peer string, reason event.Reason, kind wire.Kind, size int, detail string) {
	t.Stats.count(Direction("discarded_"+strings.ReplaceAll(string(reason), " ", "_")), kind, size)
	if t.discardLog.firstTime(peer, string(reason)) {
		t.Log.Event(event.LevelWarn, "message discarded", "peer", peer, "reason", string(reason), "kind", kind.Name(), "error", detail)
	}
}

// acceptsHello tells whether a peer may be who it says it is. Nobody speaks for this
// very daemon over a connection, and, unless addresses are mapped on the way
// (which is what Bind is for), a peer dials from the address that it names.
func (t *Transport) acceptsHello(hello ids.Address, remote net.Addr) bool {
	claimed, err := netip.ParseAddrPort(string(hello))
	if err != nil || hello == t.Address {
		return false
	}
	from, err := netip.ParseAddrPort(remote.String())
	return err != nil || t.Bind != "" || claimed.Addr().Unmap() == from.Addr().Unmap()
}

// remoteHost is a peer before it has said who it is; its port is new each time.
func remoteHost(remote net.Addr) string {
	h, _, err := net.SplitHostPort(remote.String())
	if err != nil {
		return remote.String()
	}
	return h
}
