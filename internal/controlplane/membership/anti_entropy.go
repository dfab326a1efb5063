package membership

import (
	"time"

	"dunlinwell/internal/base/ids"
)

const (
	// digestInterval is how often at most one peer is sent the part digests. A change
	// reaches both by relay; what the digests find was lost, and can wait.
	digestInterval = time.Second
	// divergenceDelay is how long the lists must differ before the part digests are
	// sent to a peer that they were sent to before. It is longer than a relayed change
	// takes to arrive, so that changes on their way cause no comparison.
	divergenceDelay = 1200 * time.Millisecond
	// maxRelayedMembers bounds the members of one relayed message. The rest follows
	// with the next one.
	maxRelayedMembers = 64
)

// reconcile answers a peer whose list differs: with the whole list or, in an
// incremental one, with the digests of its parts.
func (l *List) reconcile(now ids.Time, peer Member) {
	if !l.Incremental {
		l.out.Send(peer.Address, Snapshot{Members: l.All()})
		return
	}
	sentAt, wasSent := l.digestSentAt[peer.ID]
	if wasSent && now.Sub(sentAt) < digestInterval {
		return
	}
	since, hasDiverged := l.divergedSince[peer.ID]
	if !hasDiverged {
		l.divergedSince[peer.ID] = now
	}
	if wasSent && (!hasDiverged || now.Sub(since) < divergenceDelay) {
		return
	}
	l.digestSentAt[peer.ID] = now
	l.out.Send(peer.Address, Digest{Parts: l.partDigests[:]})
}

// handleDigest answers part digests with this list's members of the parts that
// differ.
func (l *List) handleDigest(from ids.Address, theirs Digest) {
	if len(theirs.Parts) != digestParts {
		return
	}
	delta := Delta{}
	for i, digest := range theirs.Parts {
		if digest != l.partDigests[i] {
			delta.Parts = append(delta.Parts, uint16(i))
		}
	}
	if len(delta.Parts) > 0 {
		delta.Members = l.membersInParts(delta.Parts)
		l.out.Send(from, delta)
	}
}

// membersInParts returns this list's members of some parts.
func (l *List) membersInParts(parts []uint16) []Member {
	var wanted [digestParts]bool
	for _, part := range parts {
		if int(part) < digestParts {
			wanted[part] = true
		}
	}
	var members []Member
	for _, m := range l.All() {
		if wanted[digestPart(m.ID)] {
			members = append(members, m)
		}
	}
	return members
}

// handleDelta merges the members of some parts and answers with those that the sender
// lacks or has in an older state.
func (l *List) handleDelta(from ids.Address, delta Delta) {
	theirs := map[ids.DaemonID]Member{}
	for _, m := range delta.Members {
		theirs[m.ID] = m
	}
	l.merge(delta.Members)
	if delta.Final {
		return
	}
	reply := Delta{Final: true}
	for _, m := range l.membersInParts(delta.Parts) {
		if their, ok := theirs[m.ID]; !ok || m.supersedes(their) {
			reply.Members = append(reply.Members, m)
		}
	}
	if len(reply.Members) > 0 {
		l.out.Send(from, reply)
	}
}

// sendSelf sends this daemon's own entry to a registry, which relays it.
func (l *List) sendSelf(registry Member) {
	if registry.ID != l.Self.ID {
		l.out.Send(registry.Address, Delta{Members: []Member{l.Self}, Final: true})
	}
}

// DrainChanged returns members that changed since they were last returned, at most 64,
// for a registry to relay. It returns nil if nothing changed or the list isn't
// incremental.
func (l *List) DrainChanged() []Member {
	included := map[ids.DaemonID]bool{}
	var changed []Member
	for len(l.pendingRelay) > 0 && len(changed) < maxRelayedMembers {
		id := l.pendingRelay[0]
		l.pendingRelay = l.pendingRelay[1:]
		if m, ok := l.members[id]; ok && !included[id] {
			included[id] = true
			changed = append(changed, m)
		}
	}
	return changed
}

// broadcastList sends the whole list to all live members. An incremental list is
// relayed by DrainChanged instead.
func (l *List) broadcastList() {
	if l.Incremental {
		return
	}
	all := l.All()
	for _, m := range all {
		if m.ID != l.Self.ID && !m.Dead {
			l.out.Send(m.Address, Snapshot{Members: all, Final: true})
		}
	}
}
