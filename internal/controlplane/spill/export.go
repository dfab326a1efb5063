package spill

import (
	"slices"

	"dunlinwell/internal/base/ids"
)

// computeRoom opens the one account of room: what each zone may still receive
// before its acceptable level. A zone with moves of its own out, or over its
// acceptable level, or with stale reports, has none.
func (p *planner) computeRoom() {
	for name, zone := range p.zones {
		if zone.Stale || zone.Drained || zone.NoProxies {
			continue
		}
		if slices.ContainsFunc(p.moves, func(m Move) bool { return m.From == name }) {
			continue
		}
		if free := zone.Acceptable - p.expectedUse(zone); free > 0 {
			p.room[name] = free
		}
	}
}

// exportExcess plans the moves out of every zone over its maximum.
func (p *planner) exportExcess() {
	excess, totalExcess, totalRoom := map[ids.Name]float64{}, 0.0, 0.0
	// In order, as sums of floats differ by it, and one seed is one run.
	for i := range p.Zones {
		zone := &p.Zones[i]
		n, used := zone.Name, p.expectedUse(zone)
		if zone.Stale || zone.Drained || zone.NoProxies || used <= zone.Maximum {
			continue
		}
		excess[n] = ExcessCPU(used, used, zone.Target)
		totalExcess += excess[n]
		// A zone that sheds can't take in what another sheds.
		delete(p.room, n)
	}
	for _, n := range slices.Sorted(keys(p.room)) {
		totalRoom += p.room[n]
	}
	if totalExcess == 0 || totalRoom == 0 {
		return
	}
	// Too little room is shared by need; the lowest tiers still go first.
	scale := min(1, totalRoom/totalExcess)
	var leaving []Outgoing
	for _, n := range slices.Sorted(keys(excess)) {
		for _, r := range SelectOutgoing(p.exportableUsage(p.zones[n]), excess[n]*scale) {
			leaving = append(leaving, Outgoing{RouteUsage: r, From: n})
		}
	}
	// Demand as it was before this pass: fractions refer to it.
	demand := map[[2]ids.Name]float64{}
	for _, outgoing := range leaving {
		demand[[2]ids.Name{outgoing.From, outgoing.Route}] = p.demand(p.zones[outgoing.From], outgoing.Route)
	}
	for _, transfer := range PlaceOutgoing(leaving, p.room, p.zonesByDistance) {
		demandNow := demand[[2]ids.Name{transfer.From, transfer.Route}]
		if demandNow <= 0 {
			continue
		}
		p.addMove(Move{From: transfer.From, To: transfer.To, Route: transfer.Route, Fraction: transfer.CPU / demandNow, PlannedCPU: transfer.CPU, Reason: "over its maximum"})
	}
}

// exportableUsage is the CPU time that a zone can still hand on: its own fresh connections',
// not what others gave it.
func (p *planner) exportableUsage(zone *Zone) []RouteUsage {
	received := map[ids.Name]float64{}
	for _, m := range p.moves {
		if m.To == zone.Name && p.zones[m.From] != nil {
			received[m.Route] += m.Fraction * p.demand(p.zones[m.From], m.Route)
		}
	}
	var out []RouteUsage
	for _, r := range zone.Usage {
		// A route that is gone shows in the mean for a while. Counting it as moved
		// would leave what it can't move where it is, and charge for it.
		if _, ranked := p.Ranks[r.Route]; !ranked {
			continue
		}
		r.CPU = max(r.CPU+p.returning[[2]ids.Name{zone.Name, r.Route}]-received[r.Route], 0)
		// Of a route that is all away there is nothing fresh left to hand on;
		// what it uses here are connections that stay until they end by themselves.
		if p.movedFraction(zone.Name, r.Route) > 1-minHomeShare {
			r.CPU = 0
		}
		out = append(out, r)
	}
	return out
}
