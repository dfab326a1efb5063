package process

import (
	"strings"
	"sync"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/transport/wire"
)

// Reasons for which the transport itself discards a frame or closes a connection. They are
// label values of the metric wire_messages_total.
const (
	malformedFrame event.Reason = "malformed frame"
	unknownKind    event.Reason = "unknown kind"
	// badHello is a Hello whose address doesn't match the connection, or a second one.
	badHello event.Reason = "bad hello"
	// noHello is a message received before Hello.
	noHello event.Reason = "no hello"
)

// discardedPrefix is the prefix of the Direction for each reason, such as
// discarded_malformed_frame.
const discardedPrefix = "discarded_"

// maxLoggedPeers limits the number of pairs of peer and reason in logOnce.
const maxLoggedPeers = 4096

// logOnce records which discards were logged, so that a peer that keeps sending invalid
// messages doesn't flood the log.
type logOnce struct {
	mu   sync.Mutex
	seen map[loggedDiscard]bool
}

type loggedDiscard struct {
	peer   string
	reason event.Reason
}

// firstTime reports whether it is called for the first time with this peer and reason. It
// returns false once maxLoggedPeers entries are recorded.
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

// Discard counts a message that a state machine discarded. It logs only the first one for
// each peer and reason.
func (t *Transport) Discard(d event.Discarded) {
	t.discard(string(d.From), d.Reason, wire.KindOfMessage(d.Message), 0, "")
}

func (t *Transport) discard(peer string, reason event.Reason, kind wire.Kind, size int, detail string) {
	t.Stats.count(Direction(discardedPrefix+strings.ReplaceAll(string(reason), " ", "_")), kind, size)
	if t.discardLog.firstTime(peer, reason) {
		t.Log.Event(event.LevelWarn, logMessageDiscarded, "peer", peer, "reason", string(reason), "kind", kind.Name(), "error", detail)
	}
}
