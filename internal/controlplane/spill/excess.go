package spill

import (
	"maps"
	"slices"

	"dunlinwell/internal/base/ids"
)

// computeFreeCapacity computes the CPU time that each zone may receive up to its acceptable
// level. Zones that move connections of their own away may receive none.
func (p *planner) computeFreeCapacity() {
	for name, zone := range p.zones {
		if !zone.isPlannable() || slices.ContainsFunc(p.moves, func(m Move) bool { return m.From == name }) {
			continue
		}
		if free := zone.Acceptable - p.expectedCPU(zone); free > 0 {
			p.freeCapacity[name] = free
		}
	}
}

// moveExcessAway moves connections out of every zone that is over its maximum. If there is not
// enough free capacity, the zones share it in proportion to their excess.
func (p *planner) moveExcessAway() {
	excess, totalExcess := p.excessByZone()
	totalFreeCapacity := 0.0
	for _, zone := range slices.Sorted(maps.Keys(p.freeCapacity)) {
		totalFreeCapacity += p.freeCapacity[zone]
	}
	if totalExcess == 0 || totalFreeCapacity == 0 {
		return
	}
	scale := min(1, totalFreeCapacity/totalExcess)
	var selected []outgoingUsage
	for _, zone := range slices.Sorted(maps.Keys(excess)) {
		for _, usage := range selectOutgoing(p.movableUsage(p.zones[zone]), excess[zone]*scale) {
			selected = append(selected, outgoingUsage{RouteUsage: usage, From: zone})
		}
	}
	// Demands are computed before any move is added, since fractions are relative to the
	// demand without the new moves.
	demands := map[zoneRoute]float64{}
	for _, outgoing := range selected {
		demands[zoneRoute{outgoing.From, outgoing.Route}] = p.demand(p.zones[outgoing.From], outgoing.Route)
	}
	for _, placed := range placeOutgoing(selected, p.freeCapacity, p.zonesByDistance) {
		demand := demands[zoneRoute{placed.From, placed.Route}]
		if demand <= 0 {
			continue
		}
		p.addMove(Move{
			From:       placed.From,
			To:         placed.To,
			Route:      placed.Route,
			Fraction:   placed.CPU / demand,
			PlannedCPU: placed.CPU,
			Reason:     reasonOverMaximum,
		})
	}
}

// excessByZone returns the CPU time that each zone over its maximum must move away to reach
// its target, and the total. It removes the free capacity of these zones.
func (p *planner) excessByZone() (excess map[ids.Name]float64, total float64) {
	excess = map[ids.Name]float64{}
	for i := range p.Zones {
		zone := &p.Zones[i]
		used := p.expectedCPU(zone)
		if !zone.isPlannable() || used <= zone.Maximum {
			continue
		}
		excess[zone.Name] = excessCPU(used, used, zone.Target)
		total += excess[zone.Name]
		delete(p.freeCapacity, zone.Name)
	}
	return excess, total
}

// movableUsage returns the CPU time of each route that a zone can still move away: the usage
// of its own new connections, without that received from other zones.
func (p *planner) movableUsage(zone *Zone) []RouteUsage {
	received := map[ids.Name]float64{}
	for _, m := range p.moves {
		if m.To == zone.Name && p.zones[m.From] != nil {
			received[m.Route] += m.Fraction * p.demand(p.zones[m.From], m.Route)
		}
	}
	var movable []RouteUsage
	for _, usage := range zone.Usage {
		// A removed route stays in the averages for a while. Selecting it would use up
		// excess that must come from routes that can be moved.
		if _, ranked := p.Ranks[usage.Route]; !ranked {
			continue
		}
		usage.CPU = max(usage.CPU+p.returning[zoneRoute{zone.Name, usage.Route}]-received[usage.Route], 0)
		// A route that is fully moved away has no new connections here; the remaining
		// usage is of established connections, which can't be moved.
		if p.movedFraction(zone.Name, usage.Route) > 1-minLocalShare {
			usage.CPU = 0
		}
		movable = append(movable, usage)
	}
	return movable
}
