package spill

import (
	"cmp"
	"slices"

	"dunlinwell/internal/base/ids"
)

// excessCPU returns the CPU time that a zone must move away to come down to its target:
// what it uses times 1 - target/utilization. Both levels are in the same unit, whichever.
func excessCPU(used, utilization, target float64) float64 {
	if utilization <= target || utilization <= 0 {
		return 0
	}
	return used * (1 - target/utilization)
}

// selectOutgoing returns the usage that leaves of a zone to make up an amount, the least
// urgent routes first; of the last one only a part.
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

// outgoingUsage is usage that leaves a zone.
type outgoingUsage struct {
	RouteUsage
	From ids.Name
}

// transfer is outgoing usage with its destination.
type transfer struct {
	outgoingUsage
	To ids.Name
}

// placeOutgoing gives all outgoing usage destinations: the most urgent first, whatever its
// zone, to the nearest room. Room is one account for all and is used up in place, so that
// several zones can't overfill a destination together. What finds no room stays.
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
