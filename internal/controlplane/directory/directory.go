// Package signpost answers "where do I go": addresses of proxies in the zone
// that a fresh ask is drawn to, and for how long to trust them.
package directory

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/spill"
)

// Sight is all that an answer goes by.
type Snapshot struct {
	// Proxies are those alive, ready and in step.
	Proxies []membership.Member
	Drained map[ids.Name]bool
	Moves   []spill.Move
	// Demand is what a zone's fresh connections used when it was last well.
	Demand   func(zone ids.Name) float64
	Distance func(a, b ids.Name) float64
	Room     func(zone ids.Name) float64
}

// Way is an answer.
type Destination struct {
	Zone    ids.Name
	Proxies []ids.Address
	// Moved tells that a plan drew the ask away from its own zone.
	Moved bool
}

// maxProxies is how many addresses one answer holds, all of the same zone.
const maxProxies = 3

// Resolve draws the way for one fresh ask. Only fresh asks are drawn: a live
// connection never hears of it.
func (s Snapshot) Resolve(zone, route ids.Name, random *rand.Rand) (Destination, bool) {
	openZones := s.proxiesByZone()
	if _, ok := openZones[zone]; ok {
		draw := random.Float64()
		for _, m := range s.Moves {
			if m.From != zone || m.Route != route {
				continue
			}
			if draw -= m.Fraction; draw < 0 {
				// A destination that is gone or emptied is left out at once,
				// without waiting for the next plan.
				if _, ok := openZones[m.To]; ok {
					return s.destination(openZones, m.To, true, random), true
				}
				break
			}
		}
		return s.destination(openZones, zone, false, random), true
	}
	to, ok := s.pickFailover(openZones, zone, random)
	if !ok {
		return Destination{}, false
	}
	return s.destination(openZones, to, false, random), true
}

// proxiesByZone gives the proxies of every zone that takes new work.
func (s Snapshot) proxiesByZone() map[ids.Name][]membership.Member {
	byZone := map[ids.Name][]membership.Member{}
	for _, proxy := range s.Proxies {
		if !s.Drained[proxy.Zone] {
			byZone[proxy.Zone] = append(byZone[proxy.Zone], proxy)
		}
	}
	return byZone
}

// pickFailover shares a lost or emptied zone's asks by room, nearest first: each
// neighbour is drawn in proportion to what it would be filled with.
func (s Snapshot) pickFailover(openZones map[ids.Name][]membership.Member, from ids.Name, random *rand.Rand) (ids.Name, bool) {
	var candidates []ids.Name
	for n := range openZones {
		candidates = append(candidates, n)
	}
	if len(candidates) == 0 {
		return "", false
	}
	slices.SortFunc(candidates, func(a, b ids.Name) int {
		return cmp.Or(cmp.Compare(s.Distance(from, a), s.Distance(from, b)), cmp.Compare(a, b))
	})
	// One whose own connections are still sent away has no room for others'.
	if receiving := slices.DeleteFunc(slices.Clone(candidates), s.hasOutgoingMoves); len(receiving) > 0 {
		candidates = receiving
	}
	demand := s.Demand(from)
	weights := make([]float64, len(candidates))
	totalWeight := 0.0
	for i, n := range candidates {
		weights[i] = min(demand, max(s.Room(n), 0))
		demand -= weights[i]
		totalWeight += weights[i]
	}
	// Nothing known of demand or room: the nearest it is.
	if totalWeight <= 0 {
		return candidates[0], true
	}
	draw := random.Float64() * totalWeight
	for i, n := range candidates {
		if draw -= weights[i]; draw < 0 {
			return n, true
		}
	}
	return candidates[0], true
}

// hasOutgoingMoves tells whether a zone's own connections are sent away.
func (s Snapshot) hasOutgoingMoves(zone ids.Name) bool {
	return slices.ContainsFunc(s.Moves, func(m spill.Move) bool { return m.From == zone })
}

func (s Snapshot) destination(openZones map[ids.Name][]membership.Member, zone ids.Name, moved bool, random *rand.Rand) Destination {
	destination := Destination{Zone: zone, Moved: moved}
	proxies := slices.Clone(openZones[zone])
	random.Shuffle(len(proxies), func(i, j int) { proxies[i], proxies[j] = proxies[j], proxies[i] })
	for _, proxy := range proxies[:min(maxProxies, len(proxies))] {
		destination.Proxies = append(destination.Proxies, proxy.ClientAddress())
	}
	return destination
}
