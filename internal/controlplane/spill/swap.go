package spill

import (
	"slices"

	"dunlinwell/internal/base/ids"
)

// minHomeShare is the share of a route at home below which it counts as away.
const minHomeShare = 0.05

// prioritizeMoves puts the order of each zone's moves right. Moves end one by one: their
// destination is emptied, its reports stay away, or it sends them back. Then an
// urgent route may be away while a lesser one is home. The lesser takes its
// place, there and here, so that no zone's load changes by it; but for a nearer
// zone that has come to have room meanwhile, which takes it first.
func (p *planner) prioritizeMoves() {
	for i := range p.Zones {
		zone := &p.Zones[i]
		if zone.Stale || zone.Drained || zone.NoProxies {
			continue
		}
		rows := p.rankedRoutes(zone)
		// The most urgent first, each against the least urgent.
		for hi := len(rows) - 1; hi > 0; hi-- {
			for lo := 0; lo < hi; lo++ {
				p.swapRoutes(zone, rows[hi].Route, rows[lo].Route)
			}
		}
	}
}

// rankedRoutes ranks the routes that a zone's own connections ask for, the least first.
func (p *planner) rankedRoutes(zone *Zone) []RouteUsage {
	rows := slices.Clone(zone.Usage)
	for _, m := range p.moves {
		if m.From == zone.Name && !slices.ContainsFunc(rows, func(r RouteUsage) bool { return r.Route == m.Route }) {
			rows = append(rows, RouteUsage{Rank: p.Ranks[m.Route]})
		}
	}
	slices.SortFunc(rows, func(a, b RouteUsage) int { return compareRanks(a.Rank, b.Rank) })
	return rows
}

// swapRoutes lets a lesser route go where an urgent one of the same zone went.
func (p *planner) swapRoutes(zone *Zone, hi, lo ids.Name) {
	high, low := p.demand(zone, hi), p.demand(zone, lo)
	home := (1 - p.movedFraction(zone.Name, lo)) * low
	if high <= 0 || home <= minHomeShare*low {
		return
	}
	for i := 0; i < len(p.moves) && home > 0; i++ {
		m := p.moves[i]
		if m.From != zone.Name || m.Route != hi || m.Fraction <= 0 {
			continue
		}
		part := min(home, m.Fraction*high)
		home -= part
		p.moves[i].Fraction -= part / high
		p.moves[i].PlannedCPU = max(0, m.PlannedCPU-part)
		p.replaceMove(m, lo, part, low)
	}
}

// replaceMove enters a lesser route's moves in place of an urgent one's.
func (p *planner) replaceMove(urgent Move, lesser ids.Name, amount, demand float64) {
	enter := func(to ids.Name, part float64) {
		p.addMove(Move{From: urgent.From, To: to, Route: lesser, Fraction: part / demand, PlannedCPU: part, Reason: "in place of " + string(urgent.Route)})
	}
	for _, n := range p.zonesByDistance(urgent.From) {
		if p.Distance(urgent.From, n) >= p.Distance(urgent.From, urgent.To) {
			break
		}
		if part := min(amount, p.room[n]); part > 0 {
			p.room[n] -= part
			amount -= part
			enter(n, part)
		}
	}
	if amount > 0 {
		enter(urgent.To, amount)
	}
}
