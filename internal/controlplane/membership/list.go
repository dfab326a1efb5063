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
	// heard are those that this daemon watches, and words when any message last
	// came from an address.
	heard map[ids.DaemonID]*arrivals
	words map[ids.Address]ids.Time
	// accusations are what is said against members.
	accusations map[ids.DaemonID]*accusation
	// buried are the verdicts that this registry passed itself.
	buried       map[ids.DaemonID]burial
	ticked, beat ids.Time
	// begun is when the clock first ticked.
	begun        ids.Time
	nextSeedCall ids.Time
	digest       uint64
	dirty        bool
	// all are the members in order of id, and index the ring of the living ones;
	// nil once they have to be drawn up anew.
	all            []Member
	index          *ringIndex
	parts          [parts]uint64
	seedCalls      int
	asked, differs map[ids.DaemonID]ids.Time
	changed        []ids.DaemonID
	version        uint64
	shown          uint64
	// MayDeclareDead, if set, tells whether this registry may count others as gone.
	MayDeclareDead func(now ids.Time) bool
	page           atomic.Pointer[page]
}

// New makes a list that knows itself and its seeds alone.
func New(p Options, out *event.Outbox) *List {
	p.fill()
	p.Self.Sequence = 1
	r := &List{
		Options: p, out: out, dirty: true, asked: map[ids.DaemonID]ids.Time{}, differs: map[ids.DaemonID]ids.Time{},
		members:     map[ids.DaemonID]Member{p.Self.ID: p.Self},
		heard:       map[ids.DaemonID]*arrivals{},
		words:       map[ids.Address]ids.Time{},
		accusations: map[ids.DaemonID]*accusation{}, buried: map[ids.DaemonID]burial{},
	}
	r.parts[part(p.Self.ID)] ^= imprint(p.Self)
	return r
}

// Announce changes what this daemon says of itself.
func (r *List) Announce(ready bool, holds ids.Revision) {
	// Which configuration a daemon holds is known from acknowledgements; told of each
	// change by everybody, it would cost the square of the fleet.
	if r.Self.Ready == ready && (r.Self.Revision == holds || r.Incremental) {
		r.Self.Revision = holds
		return
	}
	r.Self.Ready, r.Self.Revision = ready, holds
	r.Self.Sequence++
	r.set(r.Self)
	if r.Incremental {
		for _, f := range r.Live(Registry) {
			r.introduce(f)
		}
	}
}

func (r *List) set(m Member) {
	if old, ok := r.members[m.ID]; ok {
		r.parts[part(m.ID)] ^= imprint(old)
	}
	r.parts[part(m.ID)] ^= imprint(m)
	r.members[m.ID] = m
	r.dirty, r.all, r.index = true, nil, nil
	if r.Incremental {
		r.changed = append(r.changed, m.ID)
	}
	r.version++
}

// Version grows with each change of the roll, so that owners can tell.
func (r *List) Version() uint64 { return r.version }

// All gives every member known, in order of id.
func (r *List) All() []Member {
	if r.all == nil {
		r.all = slices.SortedFunc(maps.Values(r.members), func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	}
	return r.all[:len(r.all):len(r.all)]
}

// Live gives the members of a role that are not gone, in the agreed order.
func (r *List) Live(role Role) []Member {
	var out []Member
	for _, m := range r.All() {
		if !m.Gone && m.Role == role {
			out = append(out, m)
		}
	}
	return out
}

// Get finds one member.
func (r *List) Get(id ids.DaemonID) (Member, bool) {
	m, ok := r.members[id]
	return m, ok
}

// Ended tells whether the run of a daemon is surely over or suspected so.
func (r *List) Ended(id ids.DaemonID, s ids.RunID) bool {
	m, ok := r.members[id]
	return !ok || m.Gone || m.RunID != s
}

func (r *List) sum() uint64 {
	if r.dirty {
		r.digest, r.dirty = r.fold(), false
		if !r.Incremental {
			r.digest = sum(r.All())
		}
	}
	return r.digest
}

func sum(list []Member) uint64 {
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
func (r *List) Receive(now ids.Time, from ids.Address, msg any) bool {
	r.RecordContact(now, from)
	switch m := msg.(type) {
	case Heartbeat:
		r.merge([]Member{m.Self})
		r.heartbeat(now, m.Self.ID)
		// Copies that differ merge at once rather than in rounds.
		if m.Digest != r.sum() {
			r.differ(now, m.Self)
		} else {
			delete(r.differs, m.Self.ID)
		}
	case Digest:
		r.compare(from, m)
	case Delta:
		r.take(from, m)
	case Snapshot:
		r.merge(m.Members)
		if !m.Final && sum(m.Members) != r.sum() {
			r.out.Send(from, Snapshot{Members: r.All(), Final: true})
		}
	case Suspect:
		r.suspect(now, m)
	case Withdraw:
		r.withdrawn(m)
	case Probe:
		r.probed(from, m)
	case ProbeReply:
		r.merge([]Member{m.Self})
		r.heartbeat(now, m.Self.ID)
	default:
		return false
	}
	return true
}

func (r *List) merge(list []Member) {
	for _, m := range list {
		if m.ID == r.Self.ID {
			r.refute(m)
			continue
		}
		if have, ok := r.members[m.ID]; !ok || m.newer(have) {
			r.set(m)
			if r.Incremental && m.Role == Registry && !m.Gone && (!ok || have.RunID != m.RunID || have.Gone) {
				r.introduce(m)
			}
		}
	}
}

// refute answers word of our own end, or of an earlier run of ours.
func (r *List) refute(m Member) {
	if m.Incarnation > r.Self.Incarnation || (m.Incarnation == r.Self.Incarnation && (m.Gone || m.RunID != r.Self.RunID)) {
		r.Self.Incarnation = m.Incarnation + 1
		r.Self.Sequence++
		r.set(r.Self)
		r.out.Log(event.LevelInfo, "refuted", "incarnation", itoa(uint64(r.Self.Incarnation)))
	}
}
