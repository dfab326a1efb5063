package spill

import (
	"maps"
	"slices"

	"dunlinwell/internal/base/ids"
)

// RecordDemand records the demand of a zone with current reports: the CPU time of its own new
// connections, both local and moved away. If the zone is lost, this is the load that other
// zones have to take over.
func (r *Reports) RecordDemand(zone Zone, moves []Move) {
	if !zone.isPlannable() {
		return
	}
	demand := map[ids.Name]float64{}
	for _, usage := range zone.Usage {
		demand[usage.Route] = usage.CPU
		for _, move := range moves {
			if move.From == zone.Name && move.Route == usage.Route {
				demand[usage.Route] += move.PlannedCPU
			}
		}
	}
	r.demand[zone.Name] = demand
}

// Demand returns the last recorded demand of a zone.
func (r *Reports) Demand(zone ids.Name) float64 {
	sum := 0.0
	for _, route := range slices.Sorted(maps.Keys(r.demand[zone])) {
		sum += r.demand[zone][route]
	}
	return sum
}

// RouteDemands returns the demand of each route in every zone that is the origin of a move.
func (r *Reports) RouteDemands(moves []Move) []RouteDemand {
	var demands []RouteDemand
	seen := map[ids.Name]bool{}
	for _, move := range moves {
		zone := move.From
		if seen[zone] {
			continue
		}
		seen[zone] = true
		for _, route := range slices.Sorted(maps.Keys(r.demand[zone])) {
			demands = append(demands, RouteDemand{Zone: zone, Route: route, CPU: r.demand[zone][route]})
		}
	}
	return demands
}
