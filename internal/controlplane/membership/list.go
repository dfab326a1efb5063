package membership

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"maps"
	"slices"
	"sync/atomic"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
)

// List is the state machine that every daemon embeds.
type List struct {
	Options
	out     *event.Outbox
	members map[ids.DaemonID]Member
	// heartbeats are those that this daemon watches, and words when any message last
	// came from an address.
	heartbeats  map[ids.DaemonID]*heartbeatHistory
	lastContact map[ids.Address]ids.Time
	// suspicions are what is said against members.
	suspicions map[ids.DaemonID]*suspicion
	// declarations are the verdicts that this registry passed itself.
	declarations            map[ids.DaemonID]deathDeclaration
	lastTick, nextHeartbeat ids.Time
	// firstTick is when the clock first ticked.
	firstTick   ids.Time
	nextRejoin  ids.Time
	digest      uint64
	digestStale bool
	// sorted are the members in order of id, and index the ring of the living ones;
	// nil once they have to be drawn up anew.
	sorted                      []Member
	ring                        *ring
	partDigests                 [digestParts]uint64
	seedRotation                int
	digestSentAt, divergedSince map[ids.DaemonID]ids.Time
	pendingRelay                []ids.DaemonID
	version                     uint64
	publishedVersion            uint64
	// MayDeclareDead, if set, tells whether this registry may count others as gone.
	MayDeclareDead func(now ids.Time) bool
	published      atomic.Pointer[publishedList]
}

// New makes a list that knows itself and its seeds alone.
func New(options Options, out *event.Outbox) *List {
	options.setDefaults()
	options.Self.Sequence = 1
	l := &List{
		Options: options, out: out, digestStale: true, digestSentAt: map[ids.DaemonID]ids.Time{}, divergedSince: map[ids.DaemonID]ids.Time{},
		members:     map[ids.DaemonID]Member{options.Self.ID: options.Self},
		heartbeats:  map[ids.DaemonID]*heartbeatHistory{},
		lastContact: map[ids.Address]ids.Time{},
		suspicions:  map[ids.DaemonID]*suspicion{}, declarations: map[ids.DaemonID]deathDeclaration{},
	}
	l.partDigests[digestPart(options.Self.ID)] ^= memberDigest(options.Self)
	return l
}

// UpdateSelf changes what this daemon says of itself.
func (l *List) UpdateSelf(ready bool, revision ids.Revision) {
	// Which configuration a daemon holds is known from acknowledgements; told of each
	// change by everybody, it would cost the square of the fleet.
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

// Version grows with each change of the roll, so that owners can tell.
func (l *List) Version() uint64 { return l.version }

// All gives every member known, in order of id.
func (l *List) All() []Member {
	if l.sorted == nil {
		l.sorted = slices.SortedFunc(maps.Values(l.members), func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	}
	return l.sorted[:len(l.sorted):len(l.sorted)]
}

// Live gives the members of a role that are not gone, in the agreed order.
func (l *List) Live(role Role) []Member {
	var out []Member
	for _, m := range l.All() {
		if !m.Gone && m.Role == role {
			out = append(out, m)
		}
	}
	return out
}

// Get finds one member.
func (l *List) Get(id ids.DaemonID) (Member, bool) {
	m, ok := l.members[id]
	return m, ok
}

// RunEnded tells whether the run of a daemon is surely over or suspected so.
func (l *List) RunEnded(id ids.DaemonID, run ids.RunID) bool {
	m, ok := l.members[id]
	return !ok || m.Gone || m.RunID != run
}

func (l *List) currentDigest() uint64 {
	if l.digestStale {
		l.digest, l.digestStale = l.combinePartDigests(), false
		if !l.Incremental {
			l.digest = listDigest(l.All())
		}
	}
	return l.digest
}

func listDigest(list []Member) uint64 {
	h := fnv.New64a()
	for _, m := range list {
		h.Write([]byte(m.ID))
		gone := uint64(0)
		if m.Gone {
			gone = 1
		}
		var raw []byte
		for _, x := range []uint64{uint64(m.Incarnation), uint64(m.Sequence), gone} {
			raw = binary.BigEndian.AppendUint64(raw, x)
		}
		h.Write(raw)
	}
	return h.Sum64()
}

// Receive takes a message; false means that it belongs to another slice.
func (l *List) Receive(now ids.Time, from ids.Address, msg any) bool {
	l.RecordContact(now, from)
	switch m := msg.(type) {
	case Heartbeat:
		l.merge([]Member{m.Self})
		l.recordHeartbeat(now, m.Self.ID)
		// Copies that differ merge at once rather than in rounds.
		if m.Digest != l.currentDigest() {
			l.reconcile(now, m.Self)
		} else {
			delete(l.divergedSince, m.Self.ID)
		}
	case Digest:
		l.handleDigest(from, m)
	case Delta:
		l.handleDelta(from, m)
	case Snapshot:
		l.merge(m.Members)
		if !m.Final && listDigest(m.Members) != l.currentDigest() {
			l.out.Send(from, Snapshot{Members: l.All(), Final: true})
		}
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

func (l *List) merge(list []Member) {
	for _, m := range list {
		if m.ID == l.Self.ID {
			l.refute(m)
			continue
		}
		if known, exists := l.members[m.ID]; !exists || m.supersedes(known) {
			l.put(m)
			if l.Incremental && m.Role == Registry && !m.Gone && (!exists || known.RunID != m.RunID || known.Gone) {
				l.sendSelf(m)
			}
		}
	}
}

// refute answers word of our own end, or of an earlier run of ours.
func (l *List) refute(m Member) {
	if m.Incarnation > l.Self.Incarnation || (m.Incarnation == l.Self.Incarnation && (m.Gone || m.RunID != l.Self.RunID)) {
		l.Self.Incarnation = m.Incarnation + 1
		l.Self.Sequence++
		l.put(l.Self)
		l.out.Log(event.LevelInfo, "refuted", "incarnation", itoa(uint64(l.Self.Incarnation)))
	}
}
