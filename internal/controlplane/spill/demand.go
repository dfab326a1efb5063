package spill

import (
	"maps"
	"slices"

	"dunlinwell/internal/base/ids"
)

// RecordDemand notes what a living zone's own fresh connections use, so that it is
// known how much to place elsewhere once the zone is gone.
func (r *Reports) RecordDemand(zone Zone, moves []Move) {
	if zone.NoProxies || zone.Stale || zone.Drained {
		return
	}
	demand := map[ids.Name]float64{}
	for _, usage := range zone.Usage {
		demand[usage.Route] = usage.CPU
		for _, m := range moves {
			if m.From == zone.Name && m.Route == usage.Route {
				demand[usage.Route] += m.PlannedCPU
			}
		}
	}
	r.demand[zone.Name] = demand
}

// Demand gives what a zone's fresh connections used when it last was well.
func (r *Reports) Demand(zone ids.Name) float64 {
	sum := 0.0
	for _, n := range slices.Sorted(maps.Keys(r.demand[zone])) {
		sum += r.demand[zone][n]
	}
	return sum
}

// RouteDemands gives what each route uses in the zones that some moves are from.
func (r *Reports) RouteDemands(moves []Move) []RouteDemand {
	var demands []RouteDemand
	seen := map[ids.Name]bool{}
	for _, m := range moves {
		if seen[m.From] {
			continue
		}
		seen[m.From] = true
		for _, n := range slices.Sorted(maps.Keys(r.demand[m.From])) {
			demands = append(demands, RouteDemand{m.From, n, r.demand[m.From][n]})
		}
	}
	return demands
}
