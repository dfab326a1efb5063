package spill

import (
	"cmp"
	"slices"

	"dunlinwell/internal/base/ids"
)

// excessCPU returns the CPU time that a zone must move away to reach its target: the used time
// multiplied by 1 - target/utilization. Target and utilization may be in any common unit.
func excessCPU(used, utilization, target float64) float64 {
	if utilization <= target || utilization <= 0 {
		return 0
	}
	return used * (1 - target/utilization)
}

// selectOutgoing selects usage of a zone up to a total amount of CPU time, the least urgent
// routes first. The last route may be selected in part.
func selectOutgoing(usage []RouteUsage, amount float64) []RouteUsage {
	usage = slices.Clone(usage)
	sortByRank(usage)
	var outgoing []RouteUsage
	for _, route := range usage {
		if amount <= 0 {
			break
		}
		route.CPU = min(route.CPU, amount)
		amount -= route.CPU
		if route.CPU > 0 {
			outgoing = append(outgoing, route)
		}
	}
	return outgoing
}

// outgoingUsage is usage to be moved out of a zone.
type outgoingUsage struct {
	RouteUsage
	From ids.Name
}

// transfer is outgoing usage with its destination.
type transfer struct {
	outgoingUsage
	To ids.Name
}

// placeOutgoing assigns destinations to outgoing usage, the most urgent route of any zone
// first, each to the nearest free capacity. All zones draw on the same freeCapacity map, which
// is reduced in place, so that they can't overload a destination together. Usage for which no
// free capacity is left isn't moved.
func placeOutgoing(usage []outgoingUsage, freeCapacity map[ids.Name]float64, zonesByDistance func(from ids.Name) []ids.Name) []transfer {
	usage = slices.Clone(usage)
	slices.SortStableFunc(usage, func(a, b outgoingUsage) int {
		return cmp.Or(-compareRanks(a.Rank, b.Rank), cmp.Compare(a.From, b.From))
	})
	var transfers []transfer
	for _, outgoing := range usage {
		remaining := outgoing.CPU
		for _, to := range zonesByDistance(outgoing.From) {
			if remaining <= 0 {
				break
			}
			part := min(remaining, freeCapacity[to])
			if to == outgoing.From || part <= 0 {
				continue
			}
			freeCapacity[to] -= part
			remaining -= part
			placed := transfer{outgoingUsage: outgoing, To: to}
			placed.CPU = part
			transfers = append(transfers, placed)
		}
	}
	return transfers
}
