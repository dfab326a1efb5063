package membership

import (
	"cmp"
	"maps"
	"slices"
	"sync/atomic"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
)

// List is the membership list and failure detector of one daemon, a state machine that
// the daemon embeds: it hands in messages (Receive) and time (Tick).
type List struct {
	Options
	out *event.Outbox
	// MayDeclareDead, if set, reports whether this registry may declare members dead.
	// One that is cut off from the majority of stores may not.
	MayDeclareDead func(now ids.Time) bool

	members map[ids.DaemonID]Member
	// version counts the changes of members.
	version uint64
	// sorted are the members in order of id; nil when it must be made anew.
	sorted []Member
	// ring has the live members in order of the ring; nil when it must be made anew.
	ring *ring
	// published is the list as other goroutines see it, and publishedVersion the
	// version that it was made of.
	published        atomic.Pointer[publishedList]
	publishedVersion uint64

	// heartbeats are the histories of the members that this daemon watches.
	heartbeats map[ids.DaemonID]*heartbeatHistory
	// lastContact is when any message last arrived from an address.
	lastContact map[ids.Address]ids.Time
	// suspicions are what is held against members. Only registries are sent reports.
	suspicions map[ids.DaemonID]*suspicion
	// declarations are the deaths that this registry declared itself.
	declarations map[ids.DaemonID]deathDeclaration

	// firstTick and lastTick are when Tick was first and last called; 0 before.
	firstTick, lastTick ids.Time
	// nextHeartbeat is when the watchers are next sent a heartbeat.
	nextHeartbeat ids.Time
	// nextRejoin is when unknown seeds and dead members are next sent a heartbeat.
	nextRejoin ids.Time
	// seedRotation counts the heartbeats to single seeds, so that each has its turn.
	seedRotation int

	// partDigests are the checksums of the parts of the list, and digest the one of
	// the whole list unless digestStale.
	partDigests [digestParts]uint64
	digest      uint64
	digestStale bool
	// digestSentAt is when a peer was last sent the part digests.
	digestSentAt map[ids.DaemonID]ids.Time
	// divergedSince is since when a peer's list has differed from this one.
	divergedSince map[ids.DaemonID]ids.Time
	// pendingRelay are the members that changed and weren't relayed yet.
	pendingRelay []ids.DaemonID
}

// New makes a list that knows no member but its own daemon. Messages and log entries
// go to out.
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

// UpdateSelf changes the readiness and the configuration revision of the daemon's own
// entry. In an incremental list a new revision alone isn't announced: registries know
// it from acknowledgements, and the announcements would grow with the square of the
// number of members.
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

// Version returns a number that grows with each change of the list.
func (l *List) Version() uint64 { return l.version }

// All returns all known members, dead ones included, in order of id.
func (l *List) All() []Member {
	if l.sorted == nil {
		l.sorted = slices.SortedFunc(maps.Values(l.members), func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	}
	return slices.Clip(l.sorted)
}

// Live returns the live members of a role in order of id.
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

// RunEnded reports whether a run of a daemon is over as far as is known: the daemon was
// declared dead, has a later run, or isn't known at all.
func (l *List) RunEnded(id ids.DaemonID, run ids.RunID) bool {
	m, ok := l.members[id]
	return !ok || m.Dead || m.RunID != run
}
