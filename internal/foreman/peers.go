package foreman

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"dunlinwell/internal/parcel"
	"dunlinwell/internal/rollcall"
	"dunlinwell/internal/ticket"
	"dunlinwell/internal/yard"
)

// Pulse is what foremen tell one another all the time: that they are there, how
// old their agreement is, and what their targets sum up to.
type Pulse struct {
	ID     ticket.Daemon
	Start  ticket.Start
	Age    uint32
	Yard   uint64
	Number ticket.Number
}

// Parting asks a foreman to say when all counters that it serves go by a
// target's word that it leaves; Parted says so.
type Parting struct {
	Asker  ticket.Address
	Target yard.Target
}

// Parted answers Parting.
type Parted struct {
	ID       ticket.Daemon
	Instance ticket.Instance
	Sequence ticket.Sequence
}

var _ = parcel.Register(72, Pulse{}) && parcel.Register(73, Parting{}) && parcel.Register(74, Parted{})

// peers is what a foreman knows of the others, heard from themselves: across a
// cut the roll may still hold them for alive.
type peers struct {
	heard map[ticket.Daemon]peer
	pulse ticket.Tick
	count ticket.Number
	// owes are the partings that other foremen wait for.
	owes []Parting
	// group are those who share the counters out, and ours the ones served here.
	group []rollcall.Member
	ours  []rollcall.Member
	drawn uint64
}

type peer struct {
	Pulse
	at     ticket.Tick
	differ int
	sent   ticket.Tick
}

func newPeers() peers { return peers{heard: map[ticket.Daemon]peer{}} }

const (
	pulseEvery = 400 * time.Millisecond
	// peerFor is how long a foreman counts as there after its last pulse.
	peerFor = 1600 * time.Millisecond
	// serveBy is how many foremen deliver to each counter.
	serveBy = 2
	// agreedOf is how old a foreman's agreement may be for it to be relied on.
	agreedOf = 1500 * time.Millisecond
)

// keepPeers is the clock event's share of it all.
func (f *Foreman) keepPeers(now ticket.Tick) {
	if !f.params.Thrifty {
		return
	}
	f.Yard.Vouch(now, func(id ticket.Daemon, s ticket.Start) bool {
		p, ok := f.heard[id]
		return id != f.Self.ID && ok && p.Start == s && now.Since(p.at) < peerFor
	})
	f.relay(now)
	if now < f.pulse {
		return
	}
	f.pulse = now.Add(pulseEvery)
	f.count++
	m := Pulse{ID: f.Self.ID, Start: f.Self.Start, Age: uint32(min(f.age(now)/time.Millisecond, 1<<30)), Yard: f.Yard.Sum(), Number: f.count}
	for _, p := range f.Live(rollcall.Foreman) {
		if p.ID != f.Self.ID {
			f.Tell(p.Address, m)
		}
	}
}

// pulsed takes another foreman's pulse, and sends it all targets where its copy
// goes on differing: a share may have been lost.
func (f *Foreman) pulsed(now ticket.Tick, m Pulse) {
	p := f.heard[m.ID]
	fresh := p.Start != m.Start
	p.Pulse, p.at = m, now
	if m.Yard == f.Yard.Sum() {
		p.differ = 0
	} else {
		p.differ++
	}
	if fresh || p.differ >= 3 {
		p.differ = 0
		if to, ok := f.Get(m.ID); ok {
			f.Tell(to.Address, yard.Share{List: f.Yard.All(now)})
		}
	}
	f.heard[m.ID] = p
}

// relay hands on what changed in the roll to those served here, and what this
// foreman judged to the others.
func (f *Foreman) relay(now ticket.Tick) {
	list := f.Changed()
	if len(list) == 0 {
		return
	}
	msg := rollcall.Portion{Members: list, Final: true}
	for _, m := range f.served(now) {
		f.Tell(m.Address, msg)
	}
	first := len(f.group) > 0 && f.group[0].ID == f.Self.ID
	for _, m := range f.All() {
		if m.Gone || m.ID == f.Self.ID {
			continue
		}
		if m.Role == rollcall.Foreman || m.Role == rollcall.Stockroom && first {
			f.Tell(m.Address, msg)
		}
	}
}

// served gives the counters that this foreman delivers to: all of them, or its
// part, with each counter served by two of the foremen that hear one another
// and a majority.
func (f *Foreman) served(now ticket.Tick) []rollcall.Member {
	if !f.params.Thrifty {
		return f.Live(rollcall.Counter)
	}
	var group []rollcall.Member
	sum := fnv.New64a()
	for _, m := range f.Live(rollcall.Foreman) {
		p, ok := f.heard[m.ID]
		if m.ID == f.Self.ID || ok && now.Since(p.at) < peerFor && time.Duration(p.Age)*time.Millisecond < agreedOf {
			group = append(group, m)
			sum.Write([]byte(m.ID))
		}
	}
	drawn := sum.Sum64() ^ f.Version()
	if f.ours != nil && f.drawn == drawn {
		return f.ours
	}
	f.group, f.drawn, f.ours = group, drawn, []rollcall.Member{}
	for _, c := range f.Live(rollcall.Counter) {
		if f.serves(c, group) {
			f.ours = append(f.ours, c)
		}
	}
	return f.ours
}

// serves tells whether this foreman is among the two of a group that deliver to
// a counter: the nearest one, and one by lot.
func (f *Foreman) serves(c rollcall.Member, group []rollcall.Member) bool {
	if len(group) <= serveBy {
		return true
	}
	order := slices.Clone(group)
	slices.SortFunc(order, func(a, b rollcall.Member) int {
		return cmp.Or(cmp.Compare(lot(c.ID, a.ID), lot(c.ID, b.ID)), cmp.Compare(a.ID, b.ID))
	})
	near := f.near(c, order)
	if near.ID == f.Self.ID {
		return true
	}
	order = slices.DeleteFunc(order, func(m rollcall.Member) bool { return m.ID == near.ID })
	return slices.ContainsFunc(order[:serveBy-1], func(m rollcall.Member) bool { return m.ID == f.Self.ID })
}

// near gives the foreman of an order that stands nearest to a counter.
func (f *Foreman) near(c rollcall.Member, order []rollcall.Member) rollcall.Member {
	return slices.MinFunc(order, func(a, b rollcall.Member) int {
		return cmp.Or(cmp.Compare(f.view.Distance(c.Cell, a.Cell), f.view.Distance(c.Cell, b.Cell)), cmp.Compare(lot(c.ID, a.ID), lot(c.ID, b.ID)))
	})
}

// nearest tells whether this foreman is the one that delivers to a counter
// first; the other is there in case that it doesn't.
func (f *Foreman) nearest(c rollcall.Member) bool {
	return len(f.group) == 0 || f.near(c, f.group).ID == f.Self.ID
}

func lot(a, b ticket.Daemon) uint64 {
	h := fnv.New64a()
	h.Write([]byte(a))
	h.Write([]byte{0})
	h.Write([]byte(b))
	return h.Sum64()
}
