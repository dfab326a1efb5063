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

// SlotLayout says how targets' places are shared out among proxies.
type SlotLayout struct {
	// ByZone gives a target's places to the proxies of its own zone first;
	// otherwise all proxies of the fleet have equal parts.
	ByZone bool `help:"Give a target's places to the proxies of its own cell first." name:"by-cell"`
	// Regions are the zones that this daemon was told of, and their regions.
	Regions map[ids.Name]string `kong:"-"`
}

// offerOf works out this proxy's seat at a target. Each target has an order
// of proxies of its own, so the odd places fall to different ones.
func (c *Control) offerOf(now ids.Time, t targets.Target, seats []membership.Member) dispatch.Allocation {
	o := dispatch.Allocation{
		Target: t, AgeMeasuredAt: now, Distance: c.view.Distance(c.Self.Zone, t.Zone),
		ZoneDrained: c.view.Zones[t.Zone].Drained || c.view.Zones[t.Zone].Evacuated, Region: ids.Name(c.view.Zones[t.Zone].Region),
	}
	if !c.ByZone {
		o.SlotShareCount, o.SlotShareIndex = max(len(seats), 1), c.rendezvousRank(string(t.Instance), seats)
		return o
	}
	class, peers := c.proximityOf(t, seats)
	o.SlotShareCount, o.SlotShareIndex, o.Oversubscription = max(len(peers), 1), c.rendezvousRank(string(t.Instance), peers), 1
	if class == 0 {
		// Two proxies or more may each use what the other leaves; a target's own
		// queue takes what they send at the same time.
		o.Oversubscription = min(o.SlotShareCount, 2)
	}
	c.limitSlowStart(now, t, class, &o)
	return o
}

// proximity is how near this proxy is to the targets of a zone, as places go, and
// the proxies that are as near.
type proximity struct {
	class int
	peers []membership.Member
}

// proximityOf tells how near this proxy is to a target, as places go, and names the
// proxies of that class: 0 has the target's places, 1 stands in its region
// and 2 elsewhere, with as many places again for each of the two. Where a zone
// has no proxy the next class takes its part. It is the same for all targets
// of a zone, so it is worked out once a zone and not once a target.
func (c *Control) proximityOf(t targets.Target, seats []membership.Member) (int, []membership.Member) {
	if r, ok := c.proximities[t.Zone]; ok {
		return r.class, r.peers
	}
	r := c.computeProximity(t.Zone, seats)
	if c.proximities == nil {
		c.proximities = map[ids.Name]proximity{}
	}
	c.proximities[t.Zone] = r
	return r.class, r.peers
}

func (c *Control) computeProximity(zone ids.Name, seats []membership.Member) proximity {
	near := func(n ids.Name) int {
		switch d := c.view.Distance(n, zone); {
		case d == 0:
			return 0
		case d <= 1:
			return 1
		}
		return 2
	}
	var by [3][]membership.Member
	at := map[ids.Name]int{}
	for _, m := range seats {
		n, ok := at[m.Zone]
		if !ok {
			n = near(m.Zone)
			at[m.Zone] = n
		}
		by[n] = append(by[n], m)
	}
	own := near(c.Self.Zone)
	for n := range own {
		if len(by[n]) > 0 {
			return proximity{own, by[own]}
		}
	}
	return proximity{0, by[own]}
}

// limitSlowStart bounds what a cold target gets: its rate is shared by those who have
// its places, and nobody else sends it anything.
func (c *Control) limitSlowStart(now ids.Time, t targets.Target, class int, o *dispatch.Allocation) {
	sv := c.view.Services[t.Service]
	if sv.SlowStartRate <= 0 {
		return
	}
	o.SlowStartUntil = max(now.Add(time.Duration(t.SlowStartMillis)*time.Millisecond), c.slowStartUntil[t.Zone])
	if class == 0 {
		o.SlowStartRate = sv.SlowStartRate / float64(o.SlotShareCount)
	}
	// It says itself how long it is cold, so its age tells nothing.
	o.AgeMillis = 1 << 40
}

// startSlowStart notes zones whose targets are taken back into use: they may have gone
// cold meanwhile, and their own word on it may still be on its way.
func (c *Control) startSlowStart(now ids.Time, old *configuration.View) {
	for n, zone := range c.view.Zones {
		was := old.Zones[n]
		if !(was.Evacuated || was.Drained) || zone.Evacuated || zone.Drained {
			continue
		}
		longest := 0
		for _, s := range c.view.Services {
			if s.SlowStartRate > 0 {
				longest = max(longest, s.SlowStartMillis)
			}
		}
		if c.slowStartUntil == nil {
			c.slowStartUntil = map[ids.Name]ids.Time{}
		}
		c.slowStartUntil[n] = now.Add(time.Duration(longest) * time.Millisecond)
	}
}

// rendezvousRank is this proxy's place in the order of proxies for one thing.
func (c *Control) rendezvousRank(of string, seats []membership.Member) int {
	own, n := rendezvousHash(of, c.Self.ID), 0
	for _, m := range seats {
		if m.ID != c.Self.ID && cmp.Or(cmp.Compare(rendezvousHash(of, m.ID), own), cmp.Compare(m.ID, c.Self.ID)) < 0 {
			n++
		}
	}
	return n
}

func rendezvousHash(of string, d ids.DaemonID) uint64 {
	h := fnv.New64a()
	h.Write([]byte(of))
	h.Write([]byte{0})
	h.Write([]byte(d))
	return h.Sum64()
}

// hasSlots tells whether any place at all falls to a seat, when the target is warm.
func hasSlots(o dispatch.Allocation, capacity int) bool {
	if o.Capacity > 0 {
		capacity = int(o.Capacity)
	}
	bears := max(capacity, 1) * max(o.Oversubscription, 1)
	n := max(o.SlotShareCount, 1)
	return bears*(o.SlotShareIndex+1)/n > bears*o.SlotShareIndex/n
}
