package spill

import (
	"maps"
	"slices"

	"dunlinwell/internal/base/ids"
)

// RecordDemand notes the demand of a zone that reports: what its own fresh connections
// use, at home and moved away. It tells how much to place elsewhere once the zone is lost.
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

// Demand returns the demand of a zone, as of when it last reported.
func (r *Reports) Demand(zone ids.Name) float64 {
	sum := 0.0
	for _, route := range slices.Sorted(maps.Keys(r.demand[zone])) {
		sum += r.demand[zone][route]
	}
	return sum
}

// RouteDemands returns the demand of each route in all zones that some moves come from.
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
