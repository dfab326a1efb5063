package spill

import (
	"cmp"
	"maps"
	"slices"

	"dunlinwell/internal/base/ids"
)

// PlannerInput is all that a plan depends on, besides the last moves.
type PlannerInput struct {
	Zones    []Zone
	Distance func(a, b ids.Name) float64
	// Ranks has the rank of each route in force. Routes without one are not moved.
	Ranks map[ids.Name]Rank
	// PendingIn is the CPU time, by zone, that earlier plans sent there and that reports
	// can't show yet. PendingOut is the same for what earlier plans took away. Plan adds
	// to both what it sends back.
	PendingIn  map[ids.Name]float64
	PendingOut map[ids.Name]float64
}

// zoneRoute is a route's connections that begin in a zone.
type zoneRoute struct{ zone, route ids.Name }

// planner is the state of one plan.
type planner struct {
	PlannerInput
	zones map[ids.Name]*Zone
	moves []Move
	// freeCapacity is the CPU time that each zone may still receive.
	freeCapacity map[ids.Name]float64
	// returning is the CPU time of moves that this plan ended or shrank because an end
	// was lost. It comes home now, which reports can't show yet.
	returning map[zoneRoute]float64
}

// minFraction is the smallest fraction of a move that is kept.
const minFraction = 0.005

// Plan returns the next moves, by the last ones and the state of all zones. First, moves
// that lost an end expire; then recovered zones recall what they can take, and overloaded
// destinations send back. Only then do zones over their maximum move connections away.
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

// newPlanner returns a planner with the last moves and without any room yet.
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

// dropSmallMoves ends moves under minFraction.
func (p *planner) dropSmallMoves() {
	p.moves = slices.DeleteFunc(p.moves, func(m Move) bool { return m.Fraction < minFraction })
}

// expectedCPU returns the CPU time that a zone will use once earlier plans show.
func (p *planner) expectedCPU(zone *Zone) float64 {
	sum := zone.UsedCPU() + p.PendingIn[zone.Name] - p.PendingOut[zone.Name]
	for _, route := range slices.Sorted(maps.Keys(p.Ranks)) {
		sum += p.returning[zoneRoute{zone.Name, route}]
	}
	return max(sum, 0)
}

// movedFraction returns the fraction of a route's fresh connections that a zone moves away.
func (p *planner) movedFraction(from, route ids.Name) float64 {
	sum := 0.0
	for _, m := range p.moves {
		if m.From == from && m.Route == route {
			sum += m.Fraction
		}
	}
	return sum
}

// minLocalShare is the share of a route's connections at home below which the route counts
// as moved away as a whole.
const minLocalShare = 0.05

// demand returns the CPU time of a route's fresh connections that begin in a zone: what is
// kept there, scaled up by the fraction that is moved away. What is kept includes
// connections from before the moves, and scaling alone would take a few of those for
// many, so the demand is never more than what is kept and what was moved.
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

// zonesByDistance returns all other zones, the nearest first.
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

// addMove adds a move, or adds to one with the same ends. The fractions of a route that
// leave a zone are held to 1 together.
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

// compareRouteRanks orders moves by the ranks of their routes, the least urgent first.
func (p *planner) compareRouteRanks(a, b Move) int {
	return compareRanks(p.Ranks[a.Route], p.Ranks[b.Route])
}
