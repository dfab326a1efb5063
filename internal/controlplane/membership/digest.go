package membership

import (
	"encoding/binary"
	"hash/fnv"
	"time"

	"dunlinwell/internal/base/ids"
)

const (
	// digestParts is into how many parts a roll is summed up: of 1,600 members one that
	// differs costs a part of 25.
	digestParts = 64
	// digestInterval is how often at most a roll is compared with one peer's. What
	// just changed is on its way to both by itself.
	digestInterval = time.Second
	// divergenceDelay is how long it must differ from one that was compared before.
	divergenceDelay = 1200 * time.Millisecond
	// maxRelayedMembers bounds the members of one relayed message.
	maxRelayedMembers = 64
)

func digestPart(id ids.DaemonID) int { return int(ringPosition(id) % digestParts) }

// memberDigest sums up one member, so that a part's sum is the exclusive or of its
// members' and changes with each of them alone.
func memberDigest(m Member) uint64 {
	h := fnv.New64a()
	h.Write([]byte(m.ID))
	gone := uint64(0)
	if m.Gone {
		gone = 1
	}
	var raw [24]byte
	binary.BigEndian.PutUint64(raw[:], uint64(m.Incarnation))
	binary.BigEndian.PutUint64(raw[8:], uint64(m.Sequence))
	binary.BigEndian.PutUint64(raw[16:], gone)
	h.Write(raw[:])
	return h.Sum64()
}

// combinePartDigests sums up the whole roll from its parts.
func (l *List) combinePartDigests() uint64 {
	h := fnv.New64a()
	var raw [8]byte
	for _, p := range l.partDigests {
		binary.BigEndian.PutUint64(raw[:], p)
		h.Write(raw[:])
	}
	return h.Sum64()
}

// reconcile answers a peer whose roll isn't ours: with the whole, or, where that
// would cost too much, with what the parts come to.
func (l *List) reconcile(now ids.Time, peer Member) {
	if !l.Incremental {
		l.out.Send(peer.Address, Snapshot{Members: l.All()})
		return
	}
	if sentAt, ok := l.digestSentAt[peer.ID]; ok && now.Sub(sentAt) < digestInterval {
		return
	}
	// What changed just now is on its way to both; what differs for longer got lost.
	since, ok := l.divergedSince[peer.ID]
	if !ok {
		l.divergedSince[peer.ID] = now
	}
	if _, contacted := l.digestSentAt[peer.ID]; contacted && (!ok || now.Sub(since) < divergenceDelay) {
		return
	}
	l.digestSentAt[peer.ID] = now
	l.out.Send(peer.Address, Digest{Parts: l.partDigests[:]})
}

// handleDigest answers an outline with our members of the parts that differ.
func (l *List) handleDigest(from ids.Address, theirs Digest) {
	if len(theirs.Parts) != digestParts {
		return
	}
	delta := Delta{}
	for i, sum := range theirs.Parts {
		if sum != l.partDigests[i] {
			delta.Parts = append(delta.Parts, uint16(i))
		}
	}
	if len(delta.Parts) > 0 {
		delta.Members = l.membersInParts(delta.Parts)
		l.out.Send(from, delta)
	}
}

// membersInParts gives our members of some parts.
func (l *List) membersInParts(parts []uint16) []Member {
	var wanted [digestParts]bool
	for _, i := range parts {
		if int(i) < digestParts {
			wanted[i] = true
		}
	}
	var out []Member
	for _, m := range l.All() {
		if wanted[digestPart(m.ID)] {
			out = append(out, m)
		}
	}
	return out
}

// handleDelta merges a portion and answers with what its sender lacks.
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
		if have, ok := theirs[m.ID]; !ok || m.supersedes(have) {
			reply.Members = append(reply.Members, m)
		}
	}
	if len(reply.Members) > 0 {
		l.out.Send(from, reply)
	}
}

// sendSelf tells a registry of ourselves at once; it relays that to the rest.
func (l *List) sendSelf(registry Member) {
	if registry.ID != l.Self.ID {
		l.out.Send(registry.Address, Delta{Members: []Member{l.Self}, Final: true})
	}
}

// DrainChanged gives the members that changed since it was last asked, for a registry
// to relay; nil where copies are told whole.
func (l *List) DrainChanged() []Member {
	included := map[ids.DaemonID]bool{}
	var out []Member
	for len(l.pendingRelay) > 0 && len(out) < maxRelayedMembers {
		id := l.pendingRelay[0]
		l.pendingRelay = l.pendingRelay[1:]
		if m, ok := l.members[id]; ok && !included[id] {
			included[id] = true
			out = append(out, m)
		}
	}
	return out
}
