package process

import (
	"strings"
	"sync"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/transport/wire"
)

// The reasons for which the transport itself discards a frame or closes a connection.
// They are labels of the metric wire_messages_total.
const (
	malformedFrame event.Reason = "malformed frame"
	unknownKind    event.Reason = "unknown kind"
	// badHello is a Hello from another address than it names, or a second one.
	badHello event.Reason = "bad hello"
	// noHello is a message before any Hello.
	noHello event.Reason = "no hello"
)

// discardedPrefix begins the Direction of each reason, such as
// discarded_malformed_frame.
const discardedPrefix = "discarded_"

// maxLoggedPeers bounds the memory for peers whose discards were logged.
const maxLoggedPeers = 4096

// logOnce remembers what was logged, so that a peer that keeps sending nonsense costs
// one line for each kind of it.
type logOnce struct {
	mu   sync.Mutex
	seen map[loggedDiscard]bool
}

type loggedDiscard struct {
	peer   string
	reason event.Reason
}

// firstTime reports whether a peer wasn't logged for a reason before, and remembers
// it. Beyond maxLoggedPeers it is always false.
func (l *logOnce) firstTime(peer string, reason event.Reason) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := loggedDiscard{peer, reason}
	if l.seen[key] || len(l.seen) >= maxLoggedPeers {
		return false
	}
	if l.seen == nil {
		l.seen = map[loggedDiscard]bool{}
	}
	l.seen[key] = true
	return true
}

// Discard counts a message that a machine discarded, and logs the first of its peer
// and reason.
func (t *Transport) Discard(d event.Discarded) {
	t.discard(string(d.From), d.Reason, wire.KindOfMessage(d.Message), 0, "")
}

func (t *Transport) discard(peer string, reason event.Reason, kind wire.Kind, size int, detail string) {
	t.Stats.count(Direction(discardedPrefix+strings.ReplaceAll(string(reason), " ", "_")), kind, size)
	if t.discardLog.firstTime(peer, reason) {
		t.Log.Event(event.LevelWarn, logMessageDiscarded, "peer", peer, "reason", string(reason), "kind", kind.Name(), "error", detail)
	}
}
