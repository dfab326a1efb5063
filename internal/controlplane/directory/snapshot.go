package directory

import (
	"maps"
	"math/rand/v2"
	"slices"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/spill"
)

// Snapshot is the input of a lookup. Lookups don't modify it.
type Snapshot struct {
	// Proxies are live, ready and known to have the current configuration.
	Proxies []membership.Member
	// Drained zones receive no clients.
	Drained map[ids.Name]bool
	// Moves is the current spill plan.
	Moves []spill.Move
	// Demand returns the last reported CPU time of a zone's own new connections, in
	// milliseconds per second.
	Demand   func(zone ids.Name) float64
	Distance func(a, b ids.Name) float64
	// CapacityLeft returns the CPU time that a zone has left up to its target level, in
	// milliseconds per second. It may be negative. (The free capacity in package spill ends
	// at the acceptable level.)
	CapacityLeft func(zone ids.Name) float64
}

// Destination is the answer to a lookup.
type Destination struct {
	Zone ids.Name
	// Proxies has the addresses of up to maxProxies proxies of the zone, in random order.
	Proxies []ids.Address
	// Moved reports whether the spill plan moves the client out of its own zone.
	Moved bool
}

// maxProxies is the maximum number of addresses in an answer.
const maxProxies = 3

// proxiesByZone has the proxies of each available zone. A zone is available if it isn't drained
// and has a proxy.
type proxiesByZone map[ids.Name][]membership.Member

// Resolve picks the destination of a new connection from a zone to a route. It returns false
// if no zone is available.
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

// pickMove picks at random, by the fractions of the spill plan, whether a connection is moved
// and to which zone. Moves to unavailable zones are ignored.
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

// availableZones returns the proxies of all available zones.
func (s Snapshot) availableZones() proxiesByZone {
	available := proxiesByZone{}
	for _, proxy := range s.Proxies {
		if !s.Drained[proxy.Zone] {
			available[proxy.Zone] = append(available[proxy.Zone], proxy)
		}
	}
	return available
}

// pickFailover picks a zone for a client whose own zone is unavailable. It assigns the demand
// of the client's zone to the other zones up to their remaining capacity, nearest first, and
// picks a zone with a probability proportional to the demand assigned to it. It returns false
// if no zone is available.
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
		// No demand is known, or no zone has capacity left.
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

// failoverCandidates returns the available zones, nearest first. Zones that move their own
// connections away are excluded unless all do.
func (s Snapshot) failoverCandidates(available proxiesByZone, from ids.Name) []ids.Name {
	zones := slices.Collect(maps.Keys(available))
	spill.SortByDistance(zones, from, s.Distance)
	if receiving := slices.DeleteFunc(slices.Clone(zones), s.hasOutgoingMoves); len(receiving) > 0 {
		return receiving
	}
	return zones
}

// hasOutgoingMoves reports whether the spill plan moves connections out of the zone.
func (s Snapshot) hasOutgoingMoves(zone ids.Name) bool {
	return slices.ContainsFunc(s.Moves, func(m spill.Move) bool { return m.From == zone })
}

// newDestination returns a zone with up to maxProxies of its proxies, picked at random.
func newDestination(available proxiesByZone, zone ids.Name, moved bool, random *rand.Rand) Destination {
	destination := Destination{Zone: zone, Moved: moved}
	proxies := slices.Clone(available[zone])
	random.Shuffle(len(proxies), func(i, j int) { proxies[i], proxies[j] = proxies[j], proxies[i] })
	for _, proxy := range proxies[:min(maxProxies, len(proxies))] {
		destination.Proxies = append(destination.Proxies, proxy.ClientAddress())
	}
	return destination
}
