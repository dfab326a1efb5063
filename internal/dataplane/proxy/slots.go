package proxy

import (
	"cmp"
	"hash/fnv"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/targets"
	"dunlinwell/internal/dataplane/dispatch"
	"dunlinwell/internal/state/configuration"
)

// SlotLayout says how the concurrency slots of targets are shared out among proxies.
type SlotLayout struct {
	// ByZone gives a target's slots to the proxies of its own zone first; otherwise
	// all proxies of the fleet have equal shares.
	ByZone bool `help:"Allocate a target's concurrency slots to the proxies in its own zone first." name:"by-cell"`
	// Regions are the zones that the process's settings name, and the region of each.
	Regions map[ids.Name]string `kong:"-"`
}

// slotState is what shares are computed from.
type slotState struct {
	// proxyLastSeen is when each proxy was last in the membership list and alive.
	proxyLastSeen map[ids.DaemonID]ids.Time
	// zoneSlowStartUntil is until when all targets of a zone are in slow start, whatever
	// they say: the zone was out of use, and they may have gone cold.
	zoneSlowStartUntil map[ids.Name]ids.Time
	// proximities is a cache by zone, cleared at each refresh.
	proximities map[ids.Name]proximity
}

// proximityClass says how near a proxy is to a target. In a fleet by zone a target's slots
// are given out once to each class, and divided among the proxies of the class: all classes
// together have more than the target's slots. A far proxy uses its own only while it finds
// none nearer, and what is too much then waits in the target's own queue.
type proximityClass int

const (
	// ownClass are the proxies of the target's zone, or the nearest ones if there are none.
	ownClass proximityClass = iota
	// regionClass are the proxies of the other zones of the target's region.
	regionClass
	// remoteClass are the proxies of the other regions.
	remoteClass
	// proximityClasses is the number of classes.
	proximityClasses
)

// proximity is this proxy's class at the targets of a zone, and the proxies of the class.
type proximity struct {
	class proximityClass
	peers []membership.Member
}

// lostProxyHoldTime is how long a lost proxy keeps its share: it may only be cut off from
// this proxy and still use it, until its lease ends or it has itself counted the proxies
// anew. It is longer than DefaultLease.
const lostProxyHoldTime = 3 * time.Second

// slotHolders gives the proxies among whom slots and retries are shared out.
func (c *Control) slotHolders(now ids.Time) []membership.Member {
	var holders []membership.Member
	for _, m := range c.All() {
		if m.Role != membership.Proxy {
			continue
		}
		if !m.Dead {
			c.proxyLastSeen[m.ID] = now
		}
		if at, ok := c.proxyLastSeen[m.ID]; ok && now.Sub(at) < lostProxyHoldTime {
			holders = append(holders, m)
		}
	}
	return holders
}

// allocations gives this proxy's allocation at every target, by service.
func (c *Control) allocations(now ids.Time, holders []membership.Member) map[ids.Name][]dispatch.Allocation {
	byService := map[ids.Name][]dispatch.Allocation{}
	clear(c.proximities)
	for _, t := range c.targets.All(now) {
		a := c.allocate(now, t, holders)
		// In a large fleet most targets are left to other proxies.
		if !c.ByZone || hasSlots(a, c.view.Services[t.Service].DefaultCapacity) {
			byService[t.Service] = append(byService[t.Service], a)
		}
	}
	return byService
}

// allocate computes this proxy's share of a target's slots. Proxies are ordered anew for
// each target, so that the slots left over by division fall to different ones.
func (c *Control) allocate(now ids.Time, t targets.Target, holders []membership.Member) dispatch.Allocation {
	zone := c.view.Zones[t.Zone]
	a := dispatch.Allocation{
		Target: t, AgeMeasuredAt: now, Distance: c.view.Distance(c.Self.Zone, t.Zone),
		ZoneDrained: zone.Drained || zone.Evacuated, Region: ids.Name(zone.Region),
	}
	if !c.ByZone {
		a.SlotShareCount, a.SlotShareIndex = max(len(holders), 1), c.rendezvousRank(string(t.Instance), holders)
		return a
	}
	p := c.proximityTo(t.Zone, holders)
	a.SlotShareCount, a.SlotShareIndex = max(len(p.peers), 1), c.rendezvousRank(string(t.Instance), p.peers)
	a.Oversubscription = 1
	if p.class == ownClass {
		// Two proxies or more may each use what the other leaves; the target's own
		// queue takes what they send at the same time.
		a.Oversubscription = min(a.SlotShareCount, 2)
	}
	c.applySlowStartRate(now, p.class, &a)
	return a
}

// proximityTo gives this proxy's proximity to a zone. It is the same for all targets of
// the zone, so it is computed once for each zone and refresh.
func (c *Control) proximityTo(zone ids.Name, holders []membership.Member) proximity {
	if p, ok := c.proximities[zone]; ok {
		return p
	}
	if c.proximities == nil {
		c.proximities = map[ids.Name]proximity{}
	}
	p := c.computeProximity(zone, holders)
	c.proximities[zone] = p
	return p
}

// computeProximity groups the proxies by class. The nearest class that has any proxy
// takes the part of ownClass.
func (c *Control) computeProximity(zone ids.Name, holders []membership.Member) proximity {
	var byClass [proximityClasses][]membership.Member
	classOfZone := map[ids.Name]proximityClass{}
	for _, m := range holders {
		class, ok := classOfZone[m.Zone]
		if !ok {
			class = c.classBetween(m.Zone, zone)
			classOfZone[m.Zone] = class
		}
		byClass[class] = append(byClass[class], m)
	}
	own := c.classBetween(c.Self.Zone, zone)
	for nearer := range own {
		if len(byClass[nearer]) > 0 {
			return proximity{own, byClass[own]}
		}
	}
	return proximity{ownClass, byClass[own]}
}

// classBetween gives the class of a proxy's zone towards a target's zone.
func (c *Control) classBetween(proxyZone, targetZone ids.Name) proximityClass {
	switch distance := c.view.Distance(proxyZone, targetZone); {
	case distance == 0:
		return ownClass
	case distance <= 1:
		return regionClass
	}
	return remoteClass
}

// retryBudget is this proxy's part of a service's retry budget. Parts are whole numbers
// that add up to it, since half a retry is of no use to any proxy.
func (c *Control) retryBudget(service configuration.Service, holders []membership.Member) float64 {
	shares, index := max(len(holders), 1), c.rendezvousRank("retries/"+string(service.Name), holders)
	return float64(service.RetryBudget*(index+1)/shares - service.RetryBudget*index/shares)
}

// hasSlots tells whether an allocation has any slot once its target is warm.
func hasSlots(a dispatch.Allocation, defaultCapacity int) bool {
	capacity := defaultCapacity
	if a.Capacity > 0 {
		capacity = int(a.Capacity)
	}
	slots := max(capacity, 1) * max(a.Oversubscription, 1)
	shares := max(a.SlotShareCount, 1)
	return slots*(a.SlotShareIndex+1)/shares > slots*a.SlotShareIndex/shares
}

// rendezvousRank is this proxy's index among the given proxies, ordered by their
// rendezvous hash (highest random weight) for a key.
func (c *Control) rendezvousRank(key string, proxies []membership.Member) int {
	own, rank := rendezvousHash(key, c.Self.ID), 0
	for _, m := range proxies {
		if m.ID != c.Self.ID && cmp.Or(cmp.Compare(rendezvousHash(key, m.ID), own), cmp.Compare(m.ID, c.Self.ID)) < 0 {
			rank++
		}
	}
	return rank
}

// rendezvousHash must be the same in every proxy, of whatever version.
func rendezvousHash(key string, proxy ids.DaemonID) uint64 {
	h := fnv.New64a()
	h.Write([]byte(key))
	h.Write([]byte{0})
	h.Write([]byte(proxy))
	return h.Sum64()
}
