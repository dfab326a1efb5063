package membership

import (
	"time"

	"dunlinwell/internal/base/ids"
)

const (
	// digestInterval is the minimum time between two Digest messages to the same peer. Changes
	// are normally propagated by relaying, so digests only repair lost messages.
	digestInterval = time.Second
	// divergenceDelay is how long the lists must differ before another Digest is sent to a peer.
	// It is longer than a relayed change takes to arrive, so that changes in transit don't
	// trigger a comparison.
	divergenceDelay = 1200 * time.Millisecond
	// maxRelayedMembers bounds the members of one relayed message. The rest are sent in the
	// next one.
	maxRelayedMembers = 64
)

// reconcile sends a peer whose list differs the whole list or, if the list is incremental, the
// digests of its parts.
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

// handleDigest replies with this list's members of the parts whose digests differ.
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

// membersInParts returns the members that belong to the given parts of the list.
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

// handleDelta merges the received members and replies with those that the sender lacks or has
// in an older state.
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
		if other, ok := theirs[m.ID]; !ok || m.supersedes(other) {
			reply.Members = append(reply.Members, m)
		}
	}
	if len(reply.Members) > 0 {
		l.out.Send(from, reply)
	}
}

// sendSelf sends this daemon's own entry to a registry, which relays it to the other members.
func (l *List) sendSelf(registry Member) {
	if registry.ID != l.Self.ID {
		l.out.Send(registry.Address, Delta{Members: []Member{l.Self}, Final: true})
	}
}

// DrainChanged returns up to 64 members that changed since they were last returned, for a
// registry to relay. It returns nil if nothing changed or the list isn't incremental.
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

// broadcastList sends the whole list to all live members. If the list is incremental, it does
// nothing: the owner relays the result of DrainChanged instead.
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
