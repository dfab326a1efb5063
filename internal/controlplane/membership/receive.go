package membership

import (
	"strconv"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
)

// Receive handles a message. It returns false if the message isn't defined by this package.
func (l *List) Receive(now ids.Time, from ids.Address, msg any) bool {
	l.RecordContact(now, from)
	switch m := msg.(type) {
	case Heartbeat:
		l.handleHeartbeat(now, m)
	case Digest:
		l.handleDigest(from, m)
	case Delta:
		l.handleDelta(from, m)
	case Snapshot:
		l.handleSnapshot(from, m)
	case Suspect:
		l.handleSuspect(now, m)
	case Withdraw:
		l.handleWithdraw(m)
	case Probe:
		l.handleProbe(from, m)
	case ProbeReply:
		l.merge([]Member{m.Self})
		l.recordHeartbeat(now, m.Self.ID)
	default:
		return false
	}
	return true
}

// handleHeartbeat records a heartbeat, and reconciles with the sender if its list differs.
func (l *List) handleHeartbeat(now ids.Time, h Heartbeat) {
	l.merge([]Member{h.Self})
	l.recordHeartbeat(now, h.Self.ID)
	if h.Digest != l.currentDigest() {
		l.reconcile(now, h.Self)
	} else {
		delete(l.divergedSince, h.Self.ID)
	}
}

// handleSnapshot merges a whole list, and replies with this list if the two still differ.
func (l *List) handleSnapshot(from ids.Address, s Snapshot) {
	l.merge(s.Members)
	if !s.Final && listDigest(s.Members) != l.currentDigest() {
		l.out.Send(from, Snapshot{Members: l.All(), Final: true})
	}
}

// merge adds the members that supersede the known entries. In an incremental list it sends this
// daemon's own entry to each registry that is new or was restarted, which may not have it.
func (l *List) merge(members []Member) {
	for _, m := range members {
		if m.ID == l.Self.ID {
			l.refute(m)
			continue
		}
		known, exists := l.members[m.ID]
		if exists && !m.supersedes(known) {
			continue
		}
		l.put(m)
		isNewRun := !exists || known.RunID != m.RunID || known.Dead
		if l.Incremental && m.Role == Registry && !m.Dead && isNewRun {
			l.sendSelf(m)
		}
	}
}

// refute raises this daemon's incarnation if another member's entry for it says that it is dead or
// belongs to another run.
func (l *List) refute(claim Member) {
	if claim.Incarnation < l.Self.Incarnation {
		return
	}
	isWrong := claim.Dead || claim.RunID != l.Self.RunID
	if claim.Incarnation == l.Self.Incarnation && !isWrong {
		return
	}
	l.Self.Incarnation = claim.Incarnation + 1
	l.Self.Sequence++
	l.put(l.Self)
	l.out.Log(event.LevelInfo, EventDeathRefuted, "incarnation", strconv.FormatUint(uint64(l.Self.Incarnation), 10))
}
