package registry

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/targets"
	"dunlinwell/internal/transport/wire"
)

// Pulse is what registries tell one another all the time: that they are there, how
// old their agreement is, and what their targets sum up to.
type Pulse struct {
	ID     ids.Daemon
	Start  ids.RunID
	Age    uint32
	Yard   uint64
	Number ids.Number
}

// Parting asks a registry to say when all proxies that it serves go by a
// target's word that it leaves; Parted says so.
type DepartureNotice struct {
	Asker  ids.Address
	Target targets.Target
}

// Parted answers Parting.
type DepartureAck struct {
	ID          ids.Daemon
	Instance    ids.Instance
	Sequence    ids.Sequence
	Incarnation ids.Incarnation
}

// TableDigest sums up a registry's targets part by part; whoever has other sums
// answers with the targets of those parts.
type TableDigest struct{ Parts []uint64 }

var _ = wire.Register(75, TableDigest{}) && wire.Register(72, Pulse{}) && wire.Register(73, DepartureNotice{}) && wire.Register(74, DepartureAck{})

// peers is what a registry knows of the others, heard from themselves: across a
// cut the roll may still hold them for alive.
type peers struct {
	heard map[ids.Daemon]peer
	pulse ids.Time
	count ids.Number
	// owes are the partings that other registries wait for.
	owes []DepartureNotice
	// group are those who share the proxies out, and ours the ones served here.
	group []membership.Member
	ours  []membership.Member
	drawn uint64
	// relayed is when changed members were last handed on.
	relayed ids.Time
}

type peer struct {
	Pulse
	at ids.Time
	// differ is for how many pulses its targets have been others than ours.
	differ int
	// trusted: it may deliver to proxies and keep targets.
	trusted bool
}

func newPeers() peers { return peers{heard: map[ids.Daemon]peer{}} }

const (
	pulseEvery = 400 * time.Millisecond
	// peerFor is how long a registry counts as there after its last pulse.
	peerFor = 1600 * time.Millisecond
	// serveBy is how many registries deliver to each proxy.
	serveBy = 2
	// trustWithin is how old a registry's agreement may be for it to be relied on
	// from then on, and distrustAfter how old for it not to be any more. Between
	// the two it stays as it was: who delivers to whom, and who keeps which
	// targets, doesn't move with every round that takes a little longer.
	trustWithin   = 1200 * time.Millisecond
	distrustAfter = 2500 * time.Millisecond
	// compareAfter is for how many pulses copies must differ to be compared, and
	// sendAllAfter for how many until all is sent, to one that can't compare.
	compareAfter = 3
	sendAllAfter = 15
	// relayEvery is how often changed members are handed on.
	relayEvery = 150 * time.Millisecond
)

// keepPeers is the clock event's share of it all.
func (f *Registry) keepPeers(now ids.Time) {
	if !f.params.Incremental {
		return
	}
	f.Targets.Vouch(now, func(id ids.Daemon, s ids.RunID) bool {
		p, ok := f.heard[id]
		return id != f.Self.ID && ok && p.Start == s && now.Since(p.at) < peerFor
	})
	f.relay(now)
	if now < f.pulse {
		return
	}
	f.pulse = now.Add(pulseEvery)
	f.count++
	m := Pulse{ID: f.Self.ID, Start: f.Self.Start, Age: uint32(min(f.age(now)/time.Millisecond, 1<<30)), Yard: f.Targets.Sum(), Number: f.count}
	for _, p := range f.Live(membership.Registry) {
		if p.ID != f.Self.ID {
			f.Send(p.Address, m)
		}
	}
}

// pulsed takes another registry's pulse, and compares targets with it where its
// copy goes on differing: an update may have been lost.
func (f *Registry) pulsed(now ids.Time, m Pulse) {
	p := f.heard[m.ID]
	fresh := p.Start != m.Start
	p.Pulse, p.at = m, now
	p.trusted = trusted(p.trusted && !fresh, time.Duration(m.Age)*time.Millisecond)
	if m.Yard == f.Targets.Sum() {
		p.differ = 0
	} else {
		p.differ++
	}
	f.heard[m.ID] = p
	to, ok := f.Get(m.ID)
	switch {
	case !ok:
	case fresh || p.differ > 0 && p.differ%sendAllAfter == 0:
		f.Send(to.Address, targets.Update{List: f.Targets.All(now)})
	case p.differ > 0 && p.differ%compareAfter == 0:
		f.Send(to.Address, TableDigest{Parts: f.Targets.Parts()})
	}
}

// trusted tells whether a registry with an agreement of some age is relied on.
func trusted(before bool, age time.Duration) bool {
	if before {
		return age < distrustAfter
	}
	return age < trustWithin
}

// compared answers another registry's sums with the targets that differ.
func (f *Registry) compared(now ids.Time, from ids.Address, m TableDigest) {
	if list := f.Targets.Differing(now, m.Parts); len(list) > 0 {
		f.Send(from, targets.Update{List: list})
	}
}

// relay hands on what changed in the roll to those served here, and what this
// registry judged to the others.
func (f *Registry) relay(now ids.Time) {
	if now < f.relayed.Add(relayEvery) {
		return
	}
	f.relayed = now
	list := f.Changed()
	if len(list) == 0 {
		return
	}
	msg := membership.Delta{Members: list, Final: true}
	for _, m := range f.served(now) {
		f.Send(m.Address, msg)
	}
	first := len(f.group) > 0 && f.group[0].ID == f.Self.ID
	for _, m := range f.All() {
		if m.Gone || m.ID == f.Self.ID {
			continue
		}
		if m.Role == membership.Registry || m.Role == membership.Store && first {
			f.Send(m.Address, msg)
		}
	}
}

// served gives the proxies that this registry delivers to: all of them, or its
// part, with each proxy served by two of the registries that hear one another
// and a majority.
func (f *Registry) served(now ids.Time) []membership.Member {
	if !f.params.Incremental {
		return f.Live(membership.Proxy)
	}
	var group []membership.Member
	sum := fnv.New64a()
	for _, m := range f.All() {
		if m.Role != membership.Registry {
			continue
		}
		// Its own pulses say more than a verdict that it may be about to refute.
		p, ok := f.heard[m.ID]
		if m.ID == f.Self.ID || ok && p.Start == m.Start && now.Since(p.at) < peerFor && p.trusted {
			group = append(group, m)
			sum.Write([]byte(m.ID))
		}
	}
	drawn := sum.Sum64() ^ f.Version()
	if f.ours != nil && f.drawn == drawn {
		return f.ours
	}
	f.group, f.drawn, f.ours = group, drawn, []membership.Member{}
	for _, c := range f.Live(membership.Proxy) {
		if f.serves(c, group) {
			f.ours = append(f.ours, c)
		}
	}
	return f.ours
}

// serves tells whether this registry is among the two of a group that deliver to
// a proxy: the nearest one, and one by lot.
func (f *Registry) serves(c membership.Member, group []membership.Member) bool {
	if len(group) <= serveBy {
		return true
	}
	order := slices.Clone(group)
	slices.SortFunc(order, func(a, b membership.Member) int {
		return cmp.Or(cmp.Compare(lot(c.ID, a.ID), lot(c.ID, b.ID)), cmp.Compare(a.ID, b.ID))
	})
	near := f.near(c, order)
	if near.ID == f.Self.ID {
		return true
	}
	order = slices.DeleteFunc(order, func(m membership.Member) bool { return m.ID == near.ID })
	return slices.ContainsFunc(order[:serveBy-1], func(m membership.Member) bool { return m.ID == f.Self.ID })
}

// near gives the registry of an order that stands nearest to a proxy.
func (f *Registry) near(c membership.Member, order []membership.Member) membership.Member {
	return slices.MinFunc(order, func(a, b membership.Member) int {
		return cmp.Or(cmp.Compare(f.view.Distance(c.Zone, a.Zone), f.view.Distance(c.Zone, b.Zone)), cmp.Compare(lot(c.ID, a.ID), lot(c.ID, b.ID)))
	})
}

// nearest tells whether this registry is the one that delivers to a proxy
// first; the other is there in case that it doesn't.
func (f *Registry) nearest(c membership.Member) bool {
	return len(f.group) == 0 || f.near(c, f.group).ID == f.Self.ID
}

func lot(a, b ids.Daemon) uint64 {
	h := fnv.New64a()
	h.Write([]byte(a))
	h.Write([]byte{0})
	h.Write([]byte(b))
	return h.Sum64()
}
