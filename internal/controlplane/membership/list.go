package membership

import (
	"cmp"
	"maps"
	"slices"
	"sync/atomic"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
)

// List is the membership list and failure detector of one daemon. It is a state machine, driven
// by messages (Receive) and time (Tick).
type List struct {
	Options
	out *event.Outbox
	// MayDeclareDead, if set, reports whether this registry may declare members dead. A registry
	// that can't reach a majority of stores may not.
	MayDeclareDead func(now ids.Time) bool

	members map[ids.DaemonID]Member
	// version counts the changes of members.
	version uint64
	// sorted caches the members sorted by ID; nil if it must be rebuilt.
	sorted []Member
	// ring caches the ring of live members; nil if it must be rebuilt.
	ring *ring
	// published is the copy of the list that other goroutines read, and publishedVersion the
	// version of the list that it was copied from.
	published        atomic.Pointer[publishedList]
	publishedVersion uint64

	// heartbeats holds the heartbeat histories of the members that this daemon watches.
	heartbeats map[ids.DaemonID]*heartbeatHistory
	// lastContact is when a message of any kind last arrived from each address.
	lastContact map[ids.Address]ids.Time
	// suspicions holds the suspicions of members. Reports by other daemons are only sent to
	// registries.
	suspicions map[ids.DaemonID]*suspicion
	// declarations holds the latest declaration of death of each member by this registry.
	declarations map[ids.DaemonID]deathDeclaration

	// firstTick and lastTick are when Tick was first and last called; 0 before.
	firstTick, lastTick ids.Time
	// nextHeartbeat is when the next heartbeat to the watchers is due.
	nextHeartbeat ids.Time
	// nextRejoin is when the next heartbeat to unknown seeds and dead members is due.
	nextRejoin ids.Time
	// seedRotation counts the heartbeats to single seeds, which are chosen round-robin.
	seedRotation int

	// partDigests holds the checksums of the parts of the list. digest is the checksum of the
	// whole list, and must be recomputed if digestStale is set.
	partDigests [digestParts]uint64
	digest      uint64
	digestStale bool
	// digestSentAt is when the last Digest was sent to each peer.
	digestSentAt map[ids.DaemonID]ids.Time
	// divergedSince is when each peer's list was first seen to differ from this one.
	divergedSince map[ids.DaemonID]ids.Time
	// pendingRelay holds the members that changed and haven't been relayed yet.
	pendingRelay []ids.DaemonID
}

// New returns a list that contains only the daemon's own entry. Messages and log entries go to
// out.
func New(options Options, out *event.Outbox) *List {
	options.setDefaults()
	options.Self.Sequence = 1
	l := &List{
		Options:       options,
		out:           out,
		members:       map[ids.DaemonID]Member{options.Self.ID: options.Self},
		heartbeats:    map[ids.DaemonID]*heartbeatHistory{},
		lastContact:   map[ids.Address]ids.Time{},
		suspicions:    map[ids.DaemonID]*suspicion{},
		declarations:  map[ids.DaemonID]deathDeclaration{},
		digestStale:   true,
		digestSentAt:  map[ids.DaemonID]ids.Time{},
		divergedSince: map[ids.DaemonID]ids.Time{},
	}
	l.partDigests[digestPart(options.Self.ID)] ^= memberDigest(options.Self)
	return l
}

// UpdateSelf updates the readiness and the configuration revision of the daemon's own entry. In
// an incremental list a new revision alone isn't announced: registries learn it from
// acknowledgements, and the announcements would be quadratic in the number of members.
func (l *List) UpdateSelf(ready bool, revision ids.Revision) {
	if l.Self.Ready == ready && (l.Self.Revision == revision || l.Incremental) {
		l.Self.Revision = revision
		return
	}
	l.Self.Ready, l.Self.Revision = ready, revision
	l.Self.Sequence++
	l.put(l.Self)
	if l.Incremental {
		for _, registry := range l.Live(Registry) {
			l.sendSelf(registry)
		}
	}
}

// put adds or replaces a member.
func (l *List) put(m Member) {
	if previous, ok := l.members[m.ID]; ok {
		l.partDigests[digestPart(m.ID)] ^= memberDigest(previous)
	}
	l.partDigests[digestPart(m.ID)] ^= memberDigest(m)
	l.members[m.ID] = m
	l.digestStale, l.sorted, l.ring = true, nil, nil
	if l.Incremental {
		l.pendingRelay = append(l.pendingRelay, m.ID)
	}
	l.version++
}

// Version returns a number that increases with each change of the list.
func (l *List) Version() uint64 { return l.version }

// All returns all known members, including dead ones, sorted by ID.
func (l *List) All() []Member {
	if l.sorted == nil {
		l.sorted = slices.SortedFunc(maps.Values(l.members), func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	}
	return slices.Clip(l.sorted)
}

// Live returns the live members of a role, sorted by ID.
func (l *List) Live(role Role) []Member {
	var live []Member
	for _, m := range l.All() {
		if !m.Dead && m.Role == role {
			live = append(live, m)
		}
	}
	return live
}

// Get returns a member; the second result is false if it isn't known.
func (l *List) Get(id ids.DaemonID) (Member, bool) {
	m, ok := l.members[id]
	return m, ok
}

// RunEnded reports whether a run of a daemon is known to have ended: the daemon was declared dead,
// has a different run, or isn't in the list.
func (l *List) RunEnded(id ids.DaemonID, run ids.RunID) bool {
	m, ok := l.members[id]
	return !ok || m.Dead || m.RunID != run
}
