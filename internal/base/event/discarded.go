package event

import "dunlinwell/internal/base/ids"

// Reason says why a message was discarded.
type Reason string

// NotAsked: an answer to no open question of this run: late, doubled, to an
// earlier run, or from one who wasn't asked. NotAMember: its sender isn't the
// daemon that it speaks for. Malformed: what it says can't be.
const (
	Unsolicited   Reason = "not asked"
	UnknownSender Reason = "not a member"
	Malformed     Reason = "malformed"
)

// Discarded reports a message that changed nothing, to be counted, and logged
// once for each peer.
type Discarded struct {
	From   ids.Address
	Reason Reason
	Msg    any
}

// Discard adds a Discarded.
func (o *Outbox) Discard(from ids.Address, reason Reason, msg any) {
	o.Emit(Discarded{From: from, Reason: reason, Msg: msg})
}
