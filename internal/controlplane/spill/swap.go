package spill

import (
	"slices"

	"dunlinwell/internal/base/ids"
)

// prioritizeMoves keeps each zone's urgent routes at home before others. Moves end one by
// one: their destination is drained, becomes stale, or sends them back. That may leave
// an urgent route away while a less urgent one is at home again. The two then change
// places, which leaves each zone's load as it is, except that a nearer zone with room
// receives the less urgent route first.
func (p *planner) prioritizeMoves() {
	for i := range p.Zones {
		zone := &p.Zones[i]
		if !zone.isPlannable() {
			continue
		}
		routes := p.rankedRoutes(zone)
		// The most urgent route comes first, and changes places with the least urgent.
		for urgent := len(routes) - 1; urgent > 0; urgent-- {
			for lessUrgent := 0; lessUrgent < urgent; lessUrgent++ {
				p.swapRoutes(zone, routes[urgent], routes[lessUrgent])
			}
		}
	}
}

// rankedRoutes returns the routes of a zone's own connections, at home or moved away, the
// least urgent first.
func (p *planner) rankedRoutes(zone *Zone) []ids.Name {
	ranked := slices.Clone(zone.Usage)
	for _, m := range p.moves {
		if m.From == zone.Name && !slices.ContainsFunc(ranked, func(r RouteUsage) bool { return r.Route == m.Route }) {
			ranked = append(ranked, RouteUsage{Rank: p.Ranks[m.Route]})
		}
	}
	sortByRank(ranked)
	routes := make([]ids.Name, len(ranked))
	for i, r := range ranked {
		routes[i] = r.Route
	}
	return routes
}

// swapRoutes moves the part of a lesser route that is at home to where an urgent one of the
// same zone was moved, and brings that one home.
func (p *planner) swapRoutes(zone *Zone, urgent, lessUrgent ids.Name) {
	urgentDemand, lessUrgentDemand := p.demand(zone, urgent), p.demand(zone, lessUrgent)
	lessUrgentLocal := (1 - p.movedFraction(zone.Name, lessUrgent)) * lessUrgentDemand
	if urgentDemand <= 0 || lessUrgentLocal <= minLocalShare*lessUrgentDemand {
		return
	}
	// Moves are added on the way; those are the lesser route's, and are passed over.
	for i := 0; i < len(p.moves) && lessUrgentLocal > 0; i++ {
		m := p.moves[i]
		if m.From != zone.Name || m.Route != urgent || m.Fraction <= 0 {
			continue
		}
		swapped := min(lessUrgentLocal, m.Fraction*urgentDemand)
		lessUrgentLocal -= swapped
		p.moves[i].Fraction -= swapped / urgentDemand
		p.moves[i].PlannedCPU = max(0, m.PlannedCPU-swapped)
		p.replaceMove(m, lessUrgent, swapped, lessUrgentDemand)
	}
}

// replaceMove moves an amount of a lesser route in place of an urgent one: to zones with
// room that are nearer than the urgent route's destination, and the rest to that.
func (p *planner) replaceMove(urgent Move, lessUrgent ids.Name, amount, demand float64) {
	add := func(to ids.Name, part float64) {
		p.addMove(Move{
			From:       urgent.From,
			To:         to,
			Route:      lessUrgent,
			Fraction:   part / demand,
			PlannedCPU: part,
			Reason:     reasonInPlaceOf + string(urgent.Route),
		})
	}
	for _, zone := range p.zonesByDistance(urgent.From) {
		if p.Distance(urgent.From, zone) >= p.Distance(urgent.From, urgent.To) {
			break
		}
		if part := min(amount, p.freeCapacity[zone]); part > 0 {
			p.freeCapacity[zone] -= part
			amount -= part
			add(zone, part)
		}
	}
	if amount > 0 {
		add(urgent.To, amount)
	}
}
