package directory

import (
	"maps"
	"math/rand/v2"
	"slices"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/spill"
)

// Snapshot is all that an answer depends on. It isn't changed by lookups.
type Snapshot struct {
	// Proxies are live, ready and known to have the current configuration.
	Proxies []membership.Member
	// Drained zones get no clients.
	Drained map[ids.Name]bool
	// Moves are the spill plan in force.
	Moves []spill.Move
	// Demand is the CPU time that a zone's fresh connections used when it last
	// reported, in milliseconds per second.
	Demand   func(zone ids.Name) float64
	Distance func(a, b ids.Name) float64
	// CapacityLeft is the CPU time that a zone has left up to its target level, in milliseconds
	// per second. It may be negative. (The planner's own room, package spill, ends at the
	// acceptable level.)
	CapacityLeft func(zone ids.Name) float64
}

// Destination is the answer to a lookup.
type Destination struct {
	Zone ids.Name
	// Proxies are addresses in the zone, in random order.
	Proxies []ids.Address
	// Moved tells that the spill plan sends the client out of its own zone.
	Moved bool
}

// maxProxies is the most addresses in one answer.
const maxProxies = 3

// proxiesByZone are the proxies of each zone that takes requests.
type proxiesByZone map[ids.Name][]membership.Member

// Resolve draws the destination of a fresh connection from a zone to a route. It returns
// false if no zone takes requests.
func (s Snapshot) Resolve(zone, route ids.Name, random *rand.Rand) (Destination, bool) {
	available := s.availableZones()
	if _, ok := available[zone]; ok {
		to, moved := s.pickMove(available, zone, route, random)
		if !moved {
			to = zone
		}
		return newDestination(available, to, moved, random), true
	}
	to, ok := s.pickFailover(available, zone, random)
	if !ok {
		return Destination{}, false
	}
	return newDestination(available, to, false, random), true
}

// pickMove draws whether the spill plan moves a connection, and where to. A move to a zone
// that takes no requests is void at once, without waiting for the next plan.
func (s Snapshot) pickMove(available proxiesByZone, zone, route ids.Name, random *rand.Rand) (to ids.Name, moved bool) {
	draw := random.Float64()
	for _, move := range s.Moves {
		if move.From != zone || move.Route != route {
			continue
		}
		if draw -= move.Fraction; draw < 0 {
			_, isAvailable := available[move.To]
			return move.To, isAvailable
		}
	}
	return "", false
}

// availableZones returns the proxies of all zones that take requests.
func (s Snapshot) availableZones() proxiesByZone {
	available := proxiesByZone{}
	for _, proxy := range s.Proxies {
		if !s.Drained[proxy.Zone] {
			available[proxy.Zone] = append(available[proxy.Zone], proxy)
		}
	}
	return available
}

// pickFailover draws another zone for a client whose own takes no requests. The zone's
// demand fills the others up to their room, the nearest first, and each is drawn in
// proportion to what it gets of it. It returns false if there is no zone.
func (s Snapshot) pickFailover(available proxiesByZone, from ids.Name, random *rand.Rand) (ids.Name, bool) {
	candidates := s.failoverCandidates(available, from)
	if len(candidates) == 0 {
		return "", false
	}
	demand := s.Demand(from)
	weights := make([]float64, len(candidates))
	totalWeight := 0.0
	for i, zone := range candidates {
		weights[i] = min(demand, max(s.CapacityLeft(zone), 0))
		demand -= weights[i]
		totalWeight += weights[i]
	}
	if totalWeight <= 0 {
		// Neither demand nor room is known.
		return candidates[0], true
	}
	draw := random.Float64() * totalWeight
	for i, zone := range candidates {
		if draw -= weights[i]; draw < 0 {
			return zone, true
		}
	}
	return candidates[0], true
}

// failoverCandidates returns the open zones, the nearest first. Those that move connections
// of their own away have no room for others', and are left out while there are any else.
func (s Snapshot) failoverCandidates(available proxiesByZone, from ids.Name) []ids.Name {
	zones := slices.Collect(maps.Keys(available))
	spill.SortByDistance(zones, from, s.Distance)
	if receiving := slices.DeleteFunc(slices.Clone(zones), s.hasOutgoingMoves); len(receiving) > 0 {
		return receiving
	}
	return zones
}

// hasOutgoingMoves tells whether connections of a zone are moved away.
func (s Snapshot) hasOutgoingMoves(zone ids.Name) bool {
	return slices.ContainsFunc(s.Moves, func(m spill.Move) bool { return m.From == zone })
}

// newDestination returns a zone with some of its proxies, drawn at random.
func newDestination(available proxiesByZone, zone ids.Name, moved bool, random *rand.Rand) Destination {
	destination := Destination{Zone: zone, Moved: moved}
	proxies := slices.Clone(available[zone])
	random.Shuffle(len(proxies), func(i, j int) { proxies[i], proxies[j] = proxies[j], proxies[i] })
	for _, proxy := range proxies[:min(maxProxies, len(proxies))] {
		destination.Proxies = append(destination.Proxies, proxy.ClientAddress())
	}
	return destination
}
