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

// PeerHeartbeat is what registries tell one another all the time: that they are there, how
// old their agreement is, and what their targets sum up to.
type PeerHeartbeat struct {
	ID                 ids.DaemonID
	RunID              ids.RunID
	AgreementAgeMillis uint32
	TargetsDigest      uint64
	Number             ids.StreamNumber
}

// Parting asks a registry to say when all proxies that it serves go by a
// target's word that it leaves; Parted says so.
type DepartureNotice struct {
	Asker  ids.Address
	Target targets.Target
}

// Parted answers Parting.
type DepartureAck struct {
	ID          ids.DaemonID
	Instance    ids.InstanceID
	Sequence    ids.Sequence
	Incarnation ids.Incarnation
}

// TableDigest sums up a registry's targets part by part; whoever has other sums
// answers with the targets of those parts.
type TableDigest struct{ Parts []uint64 }

var _ = wire.Register(75, TableDigest{}) && wire.Register(72, PeerHeartbeat{}) && wire.Register(73, DepartureNotice{}) && wire.Register(74, DepartureAck{})

// peers is what a registry knows of the others, heard from themselves: across a
// cut the roll may still hold them for alive.
type peers struct {
	peersByID       map[ids.DaemonID]peer
	nextHeartbeat   ids.Time
	heartbeatNumber ids.StreamNumber
	// owedAcks are the partings that other registries wait for.
	owedAcks []DepartureNotice
	// deliveryGroup are those who share the proxies out, and ours the ones served here.
	deliveryGroup []membership.Member
	assignment    []membership.Member
	assignmentKey uint64
	// lastRelay is when changed members were last handed on.
	lastRelay ids.Time
}

type peer struct {
	PeerHeartbeat
	receivedAt ids.Time
	// digestMismatches is for how many pulses its targets have been others than ours.
	digestMismatches int
	// trusted: it may deliver to proxies and keep targets.
	trusted bool
}

func newPeers() peers { return peers{peersByID: map[ids.DaemonID]peer{}} }

const (
	peerHeartbeatInterval = 400 * time.Millisecond
	// peerTimeout is how long a registry counts as there after its last pulse.
	peerTimeout = 1600 * time.Millisecond
	// registriesPerProxy is how many registries deliver to each proxy.
	registriesPerProxy = 2
	// trustWithinAge is how old a registry's agreement may be for it to be relied on
	// from then on, and distrustAfter how old for it not to be any more. Between
	// the two it stays as it was: who delivers to whom, and who keeps which
	// targets, doesn't move with every round that takes a little longer.
	trustWithinAge   = 1200 * time.Millisecond
	distrustAfterAge = 2500 * time.Millisecond
	// compareAfterMismatches is for how many pulses copies must differ to be compared, and
	// sendAllAfter for how many until all is sent, to one that can't compare.
	compareAfterMismatches = 3
	sendAllAfterMismatches = 15
	// relayInterval is how often changed members are handed on.
	relayInterval = 150 * time.Millisecond
)

// tickPeers is the clock event's share of it all.
func (r *Registry) tickPeers(now ids.Time) {
	if !r.options.Incremental {
		return
	}
	r.Targets.ConfirmRegistrars(now, func(id ids.DaemonID, s ids.RunID) bool {
		p, ok := r.peersByID[id]
		return id != r.Self.ID && ok && p.RunID == s && now.Sub(p.receivedAt) < peerTimeout
	})
	r.relayMembership(now)
	if now < r.nextHeartbeat {
		return
	}
	r.nextHeartbeat = now.Add(peerHeartbeatInterval)
	r.heartbeatNumber++
	m := PeerHeartbeat{ID: r.Self.ID, RunID: r.Self.RunID, AgreementAgeMillis: uint32(min(r.agreementAge(now)/time.Millisecond, 1<<30)), TargetsDigest: r.Targets.Digest(), Number: r.heartbeatNumber}
	for _, p := range r.Live(membership.Registry) {
		if p.ID != r.Self.ID {
			r.Send(p.Address, m)
		}
	}
}

// handlePeerHeartbeat takes another registry's pulse, and compares targets with it where its
// copy goes on differing: an update may have been lost.
func (r *Registry) handlePeerHeartbeat(now ids.Time, m PeerHeartbeat) {
	p := r.peersByID[m.ID]
	fresh := p.RunID != m.RunID
	p.PeerHeartbeat, p.receivedAt = m, now
	p.trusted = remainsTrusted(p.trusted && !fresh, time.Duration(m.AgreementAgeMillis)*time.Millisecond)
	if m.TargetsDigest == r.Targets.Digest() {
		p.digestMismatches = 0
	} else {
		p.digestMismatches++
	}
	r.peersByID[m.ID] = p
	to, ok := r.Get(m.ID)
	switch {
	case !ok:
	case fresh || p.digestMismatches > 0 && p.digestMismatches%sendAllAfterMismatches == 0:
		r.Send(to.Address, targets.Update{Targets: r.Targets.All(now)})
	case p.digestMismatches > 0 && p.digestMismatches%compareAfterMismatches == 0:
		r.Send(to.Address, TableDigest{Parts: r.Targets.PartDigests()})
	}
}

// remainsTrusted tells whether a registry with an agreement of some age is relied on.
func remainsTrusted(before bool, age time.Duration) bool {
	if before {
		return age < distrustAfterAge
	}
	return age < trustWithinAge
}

// handleTableDigest answers another registry's sums with the targets that differ.
func (r *Registry) handleTableDigest(now ids.Time, from ids.Address, m TableDigest) {
	if list := r.Targets.InDifferingParts(now, m.Parts); len(list) > 0 {
		r.Send(from, targets.Update{Targets: list})
	}
}

// relayMembership hands on what changed in the roll to those served here, and what this
// registry judged to the others.
func (r *Registry) relayMembership(now ids.Time) {
	if now < r.lastRelay.Add(relayInterval) {
		return
	}
	r.lastRelay = now
	list := r.DrainChanged()
	if len(list) == 0 {
		return
	}
	msg := membership.Delta{Members: list, Final: true}
	for _, m := range r.assignedProxies(now) {
		r.Send(m.Address, msg)
	}
	first := len(r.deliveryGroup) > 0 && r.deliveryGroup[0].ID == r.Self.ID
	for _, m := range r.All() {
		if m.Gone || m.ID == r.Self.ID {
			continue
		}
		if m.Role == membership.Registry || m.Role == membership.Store && first {
			r.Send(m.Address, msg)
		}
	}
}

// assignedProxies gives the proxies that this registry delivers to: all of them, or its
// part, with each proxy served by two of the registries that hear one another
// and a majority.
func (r *Registry) assignedProxies(now ids.Time) []membership.Member {
	if !r.options.Incremental {
		return r.Live(membership.Proxy)
	}
	var group []membership.Member
	sum := fnv.New64a()
	for _, m := range r.All() {
		if m.Role != membership.Registry {
			continue
		}
		// Its own pulses say more than a verdict that it may be about to refute.
		p, ok := r.peersByID[m.ID]
		if m.ID == r.Self.ID || ok && p.RunID == m.RunID && now.Sub(p.receivedAt) < peerTimeout && p.trusted {
			group = append(group, m)
			sum.Write([]byte(m.ID))
		}
	}
	drawn := sum.Sum64() ^ r.Version()
	if r.assignment != nil && r.assignmentKey == drawn {
		return r.assignment
	}
	r.deliveryGroup, r.assignmentKey, r.assignment = group, drawn, []membership.Member{}
	for _, c := range r.Live(membership.Proxy) {
		if r.isAssigned(c, group) {
			r.assignment = append(r.assignment, c)
		}
	}
	return r.assignment
}

// isAssigned tells whether this registry is among the two of a group that deliver to
// a proxy: the nearest one, and one by lot.
func (r *Registry) isAssigned(proxy membership.Member, group []membership.Member) bool {
	if len(group) <= registriesPerProxy {
		return true
	}
	order := slices.Clone(group)
	slices.SortFunc(order, func(a, b membership.Member) int {
		return cmp.Or(cmp.Compare(rendezvousHash(proxy.ID, a.ID), rendezvousHash(proxy.ID, b.ID)), cmp.Compare(a.ID, b.ID))
	})
	near := r.nearestRegistry(proxy, order)
	if near.ID == r.Self.ID {
		return true
	}
	order = slices.DeleteFunc(order, func(m membership.Member) bool { return m.ID == near.ID })
	return slices.ContainsFunc(order[:registriesPerProxy-1], func(m membership.Member) bool { return m.ID == r.Self.ID })
}

// nearestRegistry gives the registry of an order that stands nearest to a proxy.
func (r *Registry) nearestRegistry(proxy membership.Member, order []membership.Member) membership.Member {
	return slices.MinFunc(order, func(a, b membership.Member) int {
		return cmp.Or(cmp.Compare(r.view.Distance(proxy.Zone, a.Zone), r.view.Distance(proxy.Zone, b.Zone)), cmp.Compare(rendezvousHash(proxy.ID, a.ID), rendezvousHash(proxy.ID, b.ID)))
	})
}

// isNearestRegistry tells whether this registry is the one that delivers to a proxy
// first; the other is there in case that it doesn't.
func (r *Registry) isNearestRegistry(proxy membership.Member) bool {
	return len(r.deliveryGroup) == 0 || r.nearestRegistry(proxy, r.deliveryGroup).ID == r.Self.ID
}

func rendezvousHash(a, b ids.DaemonID) uint64 {
	h := fnv.New64a()
	h.Write([]byte(a))
	h.Write([]byte{0})
	h.Write([]byte(b))
	return h.Sum64()
}
