package spill

import (
	"slices"

	"dunlinwell/internal/base/ids"
)

// prioritizeMoves keeps the more urgent routes of each zone local. Moves end independently of
// each other, when their destination is drained, becomes stale or returns them, so an urgent
// route may be moved away while a less urgent one is local again. The two are then swapped,
// which leaves the load of each zone unchanged, unless a nearer zone has free capacity for the
// less urgent route.
func (p *planner) prioritizeMoves() {
	for i := range p.Zones {
		zone := &p.Zones[i]
		if !zone.isPlannable() {
			continue
		}
		routes := p.rankedRoutes(zone)
		// The most urgent route is swapped first, with the least urgent one.
		for urgent := len(routes) - 1; urgent > 0; urgent-- {
			for lessUrgent := 0; lessUrgent < urgent; lessUrgent++ {
				p.swapRoutes(zone, routes[urgent], routes[lessUrgent])
			}
		}
	}
}

// rankedRoutes returns the routes that a zone uses or moves away, the least urgent first.
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

// swapRoutes moves the local part of a less urgent route to the destinations of an urgent
// route of the same zone, and makes the same amount of the urgent route local.
func (p *planner) swapRoutes(zone *Zone, urgent, lessUrgent ids.Name) {
	urgentDemand, lessUrgentDemand := p.demand(zone, urgent), p.demand(zone, lessUrgent)
	lessUrgentLocal := (1 - p.movedFraction(zone.Name, lessUrgent)) * lessUrgentDemand
	if urgentDemand <= 0 || lessUrgentLocal <= minLocalShare*lessUrgentDemand {
		return
	}
	// The loop appends moves of the less urgent route to p.moves; it skips those.
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

// replaceMove moves an amount of a less urgent route in place of an urgent one: first to
// nearer zones with free capacity, and the rest to the destination of the urgent route.
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
