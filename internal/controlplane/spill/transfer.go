package spill

import (
	"cmp"
	"slices"

	"dunlinwell/internal/base/ids"
)

// ExcessCPU is what a zone must move to come back to its target: what it uses
// times 1 - target/utilisation. Both levels are in the same unit.
func ExcessCPU(used, utilization, target float64) float64 {
	if utilization <= target || utilization <= 0 {
		return 0
	}
	return used * (1 - target/utilization)
}

// SelectOutgoing picks what leaves of an amount, lowest rank first; the last one
// leaves in part.
func SelectOutgoing(usage []RouteUsage, amount float64) []RouteUsage {
	usage = slices.Clone(usage)
	slices.SortFunc(usage, func(a, b RouteUsage) int { return compareRanks(a.Rank, b.Rank) })
	var outgoing []RouteUsage
	for _, r := range usage {
		if amount <= 0 {
			break
		}
		r.CPU = min(r.CPU, amount)
		amount -= r.CPU
		if r.CPU > 0 {
			outgoing = append(outgoing, r)
		}
	}
	return outgoing
}

// Outgoing is CPU time that leaves a zone.
type Outgoing struct {
	RouteUsage
	From ids.Name
}

// Haul is where CPU time goes.
type Transfer struct {
	Outgoing
	To ids.Name
}

// PlaceOutgoing gives the most urgent of all that leaves, from whatever zone, the
// nearest room. The account of room is one, so that several hot zones can't
// overfill a destination; it is used up in place.
func PlaceOutgoing(leaving []Outgoing, room map[ids.Name]float64, zonesByDistance func(from ids.Name) []ids.Name) []Transfer {
	leaving = slices.Clone(leaving)
	slices.SortStableFunc(leaving, func(a, b Outgoing) int {
		return cmp.Or(-compareRanks(a.Rank, b.Rank), cmp.Compare(a.From, b.From))
	})
	var transfers []Transfer
	for _, outgoing := range leaving {
		remaining := outgoing.CPU
		for _, to := range zonesByDistance(outgoing.From) {
			if remaining <= 0 {
				break
			}
			part := min(remaining, room[to])
			if to == outgoing.From || part <= 0 {
				continue
			}
			room[to] -= part
			remaining -= part
			transfer := Transfer{Outgoing: outgoing, To: to}
			transfer.CPU = part
			transfers = append(transfers, transfer)
		}
	}
	return transfers
}
