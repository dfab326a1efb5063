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

// SlotLayout determines how the concurrency slots of targets are divided among the proxies.
type SlotLayout struct {
	// ByZone assigns a target's slots to the proxies of its own zone first. Otherwise all
	// proxies have equal shares.
	ByZone bool `help:"Assign a target's concurrency slots to the proxies of its own zone first." name:"by-cell"`
	// Regions is the region of each zone in the settings of the process.
	Regions map[ids.Name]string `kong:"-"`
}

// slotState holds the inputs of the slot shares.
type slotState struct {
	// proxyLastSeen is the time at which each proxy was last alive in the membership list.
	proxyLastSeen map[ids.DaemonID]ids.Time
	// zoneSlowStartUntil is the end of the slow start of all targets of a zone that was put
	// back into use. The later of this and the target's own slow start applies.
	zoneSlowStartUntil map[ids.Name]ids.Time
	// proximities is a cache by zone, cleared on each refresh.
	proximities map[ids.Name]proximity
}

// proximityClass groups proxies by their distance to a target. With SlotLayout.ByZone, a target's
// slots are divided among the proxies of each class separately, so all classes together have more
// than the target's slots. A distant proxy uses its slots only if it has none at nearer targets;
// requests that exceed the target's slots wait in its own queue.
type proximityClass int

const (
	// nearestClass contains the proxies of the target's zone, or of the nearest class that has
	// any proxies.
	nearestClass proximityClass = iota
	// regionClass contains the proxies of the other zones of the target's region.
	regionClass
	// remoteClass contains the proxies of the other regions.
	remoteClass
	// proximityClassCount is the number of classes.
	proximityClassCount
)

// proximity is this proxy's class for the targets of a zone, and the proxies of that class.
type proximity struct {
	class proximityClass
	peers []membership.Member
}

// lostProxyHoldTime is how long a failed proxy keeps its share. It may only be partitioned from
// this proxy and keep using the share until its lease expires or it has updated its own
// membership list. It must be longer than DefaultLease.
const lostProxyHoldTime = 3 * time.Second

// slotHolders returns the proxies among which slots and retry budgets are divided.
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

// allocations returns this proxy's allocations of slots at targets, by service.
func (c *Control) allocations(now ids.Time, holders []membership.Member) map[ids.Name][]dispatch.Allocation {
	byService := map[ids.Name][]dispatch.Allocation{}
	clear(c.proximities)
	for _, t := range c.targets.All(now) {
		a := c.allocate(now, t, holders)
		// In a large cluster this proxy has no slots at most targets.
		if !c.ByZone || hasSlots(a, c.view.Services[t.Service].DefaultCapacity) {
			byService[t.Service] = append(byService[t.Service], a)
		}
	}
	return byService
}

// allocate computes this proxy's share of a target's slots. The order of the proxies differs
// between targets, so that the remainders of the division are spread over all proxies.
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
	if p.class == nearestClass {
		// Each of several proxies may use slots that the others leave free. The target's own
		// queue absorbs simultaneous requests.
		a.Oversubscription = min(a.SlotShareCount, 2)
	}
	c.applySlowStartRate(now, p.class, &a)
	return a
}

// proximityTo returns this proxy's proximity to a zone, computed once per zone and refresh.
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

// computeProximity groups the proxies by class and returns this proxy's. The nearest class that
// has any proxies counts as nearestClass.
func (c *Control) computeProximity(zone ids.Name, holders []membership.Member) proximity {
	var byClass [proximityClassCount][]membership.Member
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
	return proximity{nearestClass, byClass[own]}
}

// classBetween returns the class of the proxies of a zone for the targets of another.
func (c *Control) classBetween(proxyZone, targetZone ids.Name) proximityClass {
	switch distance := c.view.Distance(proxyZone, targetZone); {
	case distance == 0:
		return nearestClass
	case distance <= 1:
		return regionClass
	}
	return remoteClass
}

// retryBudget returns this proxy's share of a service's retry budget. The shares are whole numbers
// that add up to the budget.
func (c *Control) retryBudget(service configuration.Service, holders []membership.Member) float64 {
	shares, index := max(len(holders), 1), c.rendezvousRank("retries/"+string(service.Name), holders)
	return float64(service.RetryBudget*(index+1)/shares - service.RetryBudget*index/shares)
}

// hasSlots reports whether an allocation has any slots after the target's slow start.
func hasSlots(a dispatch.Allocation, defaultCapacity int) bool {
	capacity := defaultCapacity
	if a.Capacity > 0 {
		capacity = int(a.Capacity)
	}
	slots := max(capacity, 1) * max(a.Oversubscription, 1)
	shares := max(a.SlotShareCount, 1)
	return slots*(a.SlotShareIndex+1)/shares > slots*a.SlotShareIndex/shares
}

// rendezvousRank returns this proxy's index among the given proxies, ordered by their rendezvous
// hash for a key.
func (c *Control) rendezvousRank(key string, proxies []membership.Member) int {
	own, rank := rendezvousHash(key, c.Self.ID), 0
	for _, m := range proxies {
		if m.ID != c.Self.ID && cmp.Or(cmp.Compare(rendezvousHash(key, m.ID), own), cmp.Compare(m.ID, c.Self.ID)) < 0 {
			rank++
		}
	}
	return rank
}

// rendezvousHash returns the hash of a key and a proxy. All versions of the proxy must compute the
// same hash.
func rendezvousHash(key string, proxy ids.DaemonID) uint64 {
	h := fnv.New64a()
	h.Write([]byte(key))
	h.Write([]byte{0})
	h.Write([]byte(proxy))
	return h.Sum64()
}
