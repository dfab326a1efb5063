package spill

import (
	"cmp"
	"maps"
	"slices"

	"dunlinwell/internal/base/ids"
)

// PlannerInput is the input of a plan, apart from the previous moves.
type PlannerInput struct {
	Zones    []Zone
	Distance func(a, b ids.Name) float64
	// Ranks has the rank of each configured route. Routes without a rank are not moved.
	Ranks map[ids.Name]Rank
	// PendingIn and PendingOut are the CPU time that earlier plans moved into and out of each
	// zone and that reports don't show yet. Plan adds the CPU time that it returns from
	// overloaded destinations to both.
	PendingIn  map[ids.Name]float64
	PendingOut map[ids.Name]float64
}

// zoneRoute identifies the connections of a route that originate in a zone.
type zoneRoute struct{ zone, route ids.Name }

// planner is the state of one plan.
type planner struct {
	PlannerInput
	zones map[ids.Name]*Zone
	moves []Move
	// freeCapacity is the CPU time that each zone can still receive.
	freeCapacity map[ids.Name]float64
	// returning is the CPU time of moves that this plan removed or shrank because their
	// route or one of their zones is gone or stale. It returns to the origin zone, which
	// reports don't show yet.
	returning map[zoneRoute]float64
}

// minFraction is the fraction below which a move is removed.
const minFraction = 0.005

// Plan computes the next moves from the previous moves and the state of all zones. First it
// expires moves whose route or zones are no longer available. Then recovered zones recall
// their connections, and overloaded destinations return connections to the origin. Only then
// do zones over their maximum move connections away.
func Plan(input PlannerInput, previous []Move) []Move {
	p := newPlanner(input, previous)
	p.expireMoves()
	for i := range input.Zones {
		p.recallMoves(&input.Zones[i])
	}
	for i := range input.Zones {
		p.returnExcess(&input.Zones[i])
	}
	p.computeFreeCapacity()
	p.prioritizeMoves()
	p.moveExcessAway()
	p.dropSmallMoves()
	slices.SortFunc(p.moves, func(a, b Move) int {
		return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.Route, b.Route), cmp.Compare(a.To, b.To))
	})
	return p.moves
}

// newPlanner returns a planner with the previous moves and no free capacity.
func newPlanner(input PlannerInput, previous []Move) *planner {
	p := &planner{
		PlannerInput: input,
		zones:        map[ids.Name]*Zone{},
		moves:        slices.Clone(previous),
		freeCapacity: map[ids.Name]float64{},
		returning:    map[zoneRoute]float64{},
	}
	for i := range input.Zones {
		p.zones[input.Zones[i].Name] = &input.Zones[i]
	}
	return p
}

// dropSmallMoves removes moves below minFraction.
func (p *planner) dropSmallMoves() {
	p.moves = slices.DeleteFunc(p.moves, func(m Move) bool { return m.Fraction < minFraction })
}

// expectedCPU returns the CPU time that a zone will use once the moves of earlier plans, and the
// expired moves, have taken effect.
func (p *planner) expectedCPU(zone *Zone) float64 {
	sum := zone.UsedCPU() + p.PendingIn[zone.Name] - p.PendingOut[zone.Name]
	for _, route := range slices.Sorted(maps.Keys(p.Ranks)) {
		sum += p.returning[zoneRoute{zone.Name, route}]
	}
	return max(sum, 0)
}

// movedFraction returns the fraction of a route's new connections that a zone moves away.
func (p *planner) movedFraction(from, route ids.Name) float64 {
	sum := 0.0
	for _, m := range p.moves {
		if m.From == from && m.Route == route {
			sum += m.Fraction
		}
	}
	return sum
}

// minLocalShare is the share of a route's connections that stay in the zone below which the
// route counts as fully moved away.
const minLocalShare = 0.05

// demand estimates the CPU time of a route's new connections that originate in a zone: the
// usage in the zone, scaled up for the fraction that is moved away. That usage includes
// connections established before the moves, which scaling would overestimate, so the demand is
// limited to the sum of the usage and the planned CPU time of the moves.
func (p *planner) demand(zone *Zone, route ids.Name) float64 {
	returning := p.returning[zoneRoute{zone.Name, route}]
	localCPU := 0.0
	for _, usage := range zone.Usage {
		if usage.Route == route {
			localCPU += usage.CPU
		}
	}
	limit := localCPU + returning
	for _, m := range p.moves {
		if m.From == zone.Name && m.Route == route {
			limit += m.PlannedCPU
		}
	}
	localShare := 1 - p.movedFraction(zone.Name, route)
	if localShare < minLocalShare {
		return limit
	}
	return min((localCPU+returning)/localShare, limit)
}

// zonesByDistance returns all other zones, nearest first.
func (p *planner) zonesByDistance(from ids.Name) []ids.Name {
	var zones []ids.Name
	for zone := range p.zones {
		if zone != from {
			zones = append(zones, zone)
		}
	}
	SortByDistance(zones, from, p.Distance)
	return zones
}

// addMove adds a move, or merges it into an existing move of the same route and zones. It
// limits the total fraction of the route that leaves the zone to 1.
func (p *planner) addMove(move Move) {
	move.Fraction = min(move.Fraction, 1-p.movedFraction(move.From, move.Route))
	if move.Fraction <= 0 {
		return
	}
	for i, existing := range p.moves {
		if existing.From == move.From && existing.To == move.To && existing.Route == move.Route {
			p.moves[i].Fraction += move.Fraction
			p.moves[i].PlannedCPU += move.PlannedCPU
			p.moves[i].Reason = move.Reason
			return
		}
	}
	p.moves = append(p.moves, move)
}

// compareRouteRanks orders moves by the rank of their route, the least urgent first.
func (p *planner) compareRouteRanks(a, b Move) int {
	return compareRanks(p.Ranks[a.Route], p.Ranks[b.Route])
}
