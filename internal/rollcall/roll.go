package rollcall

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"maps"
	"slices"
	"sync/atomic"

	"dunlinwell/internal/ticket"
	"dunlinwell/internal/works"
)

// Roll is the state machine that every daemon embeds.
type Roll struct {
	Params
	out     *works.Out
	members map[ticket.Daemon]Member
	heard   map[ticket.Daemon]ticket.Tick
	doubts  map[ticket.Daemon]map[ticket.Daemon]doubt
	beat    ticket.Tick
	knock   ticket.Tick
	digest  uint64
	dirty   bool
	// all and stood are the members in order of id, and those standing in order
	// of the ring; nil once they have to be drawn up anew.
	all, stood     []Member
	parts          [parts]uint64
	knocks         int
	asked, differs map[ticket.Daemon]ticket.Tick
	changed        []ticket.Daemon
	version        uint64
	shown          uint64
	// MayJudge, if set, tells whether this foreman may count others as gone.
	MayJudge func(now ticket.Tick) bool
	page     atomic.Pointer[page]
}

type doubt struct {
	incarnation ticket.Incarnation
	at          ticket.Tick
}

// New makes a roll that knows itself and its seeds alone.
func New(p Params, out *works.Out) *Roll {
	p.fill()
	p.Self.Sequence = 1
	r := &Roll{Params: p, out: out, dirty: true, asked: map[ticket.Daemon]ticket.Tick{}, differs: map[ticket.Daemon]ticket.Tick{},
		members: map[ticket.Daemon]Member{p.Self.ID: p.Self},
		heard:   map[ticket.Daemon]ticket.Tick{},
		doubts:  map[ticket.Daemon]map[ticket.Daemon]doubt{}}
	r.parts[part(p.Self.ID)] ^= imprint(p.Self)
	return r
}

// Announce changes what this daemon says of itself.
func (r *Roll) Announce(ready bool, holds ticket.Revision) {
	// Which policy a daemon holds is known from acknowledgements; told of each
	// change by everybody, it would cost the square of the fleet.
	if r.Self.Ready == ready && (r.Self.Holds == holds || r.Thrifty) {
		r.Self.Holds = holds
		return
	}
	r.Self.Ready, r.Self.Holds = ready, holds
	r.Self.Sequence++
	r.set(r.Self)
	if r.Thrifty {
		for _, f := range r.Live(Foreman) {
			r.introduce(f)
		}
	}
}

func (r *Roll) set(m Member) {
	if old, ok := r.members[m.ID]; ok {
		r.parts[part(m.ID)] ^= imprint(old)
	}
	r.parts[part(m.ID)] ^= imprint(m)
	r.members[m.ID] = m
	r.dirty, r.all, r.stood = true, nil, nil
	if r.Thrifty {
		r.changed = append(r.changed, m.ID)
	}
	r.version++
}

// Version grows with each change of the roll, so that owners can tell.
func (r *Roll) Version() uint64 { return r.version }

// All gives every member known, in order of id.
func (r *Roll) All() []Member {
	if r.all == nil {
		r.all = slices.SortedFunc(maps.Values(r.members), func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	}
	return r.all[:len(r.all):len(r.all)]
}

// Live gives the members of a role that are not gone, in the agreed order.
func (r *Roll) Live(role Role) []Member {
	var out []Member
	for _, m := range r.All() {
		if !m.Gone && m.Role == role {
			out = append(out, m)
		}
	}
	return out
}

// Get finds one member.
func (r *Roll) Get(id ticket.Daemon) (Member, bool) {
	m, ok := r.members[id]
	return m, ok
}

// Ended tells whether the run of a daemon is surely over or suspected so.
func (r *Roll) Ended(id ticket.Daemon, s ticket.Start) bool {
	m, ok := r.members[id]
	return !ok || m.Gone || m.Start != s
}

func (r *Roll) standing() []Member {
	if r.stood == nil {
		for _, m := range r.members {
			if !m.Gone {
				r.stood = append(r.stood, m)
			}
		}
		ring(r.stood)
	}
	return r.stood[:len(r.stood):len(r.stood)]
}

func (r *Roll) sum() uint64 {
	if r.dirty {
		r.digest, r.dirty = r.fold(), false
		if !r.Thrifty {
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

// Hear takes a message; false means that it belongs to another slice.
func (r *Roll) Hear(now ticket.Tick, from ticket.Address, msg any) bool {
	switch m := msg.(type) {
	case Heartbeat:
		r.merge([]Member{m.Self})
		r.heard[m.Self.ID] = now
		delete(r.doubts, m.Self.ID)
		// Copies that differ merge at once rather than in rounds.
		if m.Digest != r.sum() {
			r.differ(now, m.Self)
		} else {
			delete(r.differs, m.Self.ID)
		}
	case Outline:
		r.compare(from, m)
	case Portion:
		r.take(from, m)
	case Copy:
		r.merge(m.Members)
		if !m.Final && sum(m.Members) != r.sum() {
			r.out.Tell(from, Copy{Members: r.All(), Final: true})
		}
	case Suspect:
		r.doubt(now, m)
	default:
		return false
	}
	return true
}

func (r *Roll) merge(list []Member) {
	for _, m := range list {
		if m.ID == r.Self.ID {
			r.refute(m)
			continue
		}
		if have, ok := r.members[m.ID]; !ok || m.newer(have) {
			r.set(m)
			if r.Thrifty && m.Role == Foreman && !m.Gone && (!ok || have.Start != m.Start || have.Gone) {
				r.introduce(m)
			}
		}
	}
}

// refute answers word of our own end, or of an earlier run of ours.
func (r *Roll) refute(m Member) {
	if m.Incarnation > r.Self.Incarnation || (m.Incarnation == r.Self.Incarnation && (m.Gone || m.Start != r.Self.Start)) {
		r.Self.Incarnation = m.Incarnation + 1
		r.Self.Sequence++
		r.set(r.Self)
		r.out.Say("info", "refuted", "incarnation", itoa(uint64(r.Self.Incarnation)))
	}
}

func (r *Roll) doubt(now ticket.Tick, s Suspect) {
	m, ok := r.members[s.ID]
	if !ok || m.Gone || m.Incarnation != s.Incarnation || s.ID == r.Self.ID {
		return
	}
	if r.doubts[s.ID] == nil {
		r.doubts[s.ID] = map[ticket.Daemon]doubt{}
	}
	r.doubts[s.ID][s.Watcher] = doubt{s.Incarnation, now}
}
