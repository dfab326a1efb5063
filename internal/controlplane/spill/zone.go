package spill

import (
	"cmp"
	"slices"

	"dunlinwell/internal/base/ids"
)

// Rank is a route's priority. Ranks compare by the tier of the route, then by that of its
// service, both from 0 to 9 with 9 the most urgent, and then by name.
type Rank struct {
	Tier    int
	Service int
	Route   ids.Name
}

// compareRanks orders ranks, the least urgent first.
func compareRanks(a, b Rank) int {
	return cmp.Or(cmp.Compare(a.Tier, b.Tier), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Route, b.Route))
}

// RouteUsage is the CPU time that a route uses in a zone.
type RouteUsage struct {
	Rank
	// CPU is in milliseconds per second.
	CPU float64
}

// sortByRank sorts usage in place, the least urgent route first.
func sortByRank(usage []RouteUsage) {
	slices.SortFunc(usage, func(a, b RouteUsage) int { return compareRanks(a.Rank, b.Rank) })
}

// Zone is the state of a zone at the start of a plan.
type Zone struct {
	Name ids.Name
	// Target, Acceptable and Maximum are levels of CPU time, in milliseconds per second.
	// A zone above Maximum moves connections away until it is down to Target. A zone below
	// Acceptable recalls its own connections, or receives those of others up to that level.
	Target     float64
	Acceptable float64
	Maximum    float64
	Usage      []RouteUsage
	// Drained zones neither move connections nor receive any.
	Drained bool
	// Stale zones have proxies whose reports are missing. They receive no further
	// connections.
	Stale bool
	// NoProxies is set for zones without a live proxy.
	NoProxies bool
	// StalePlans is the number of consecutive plans for which the zone has been stale.
	StalePlans int
}

// isPlannable reports whether the zone's usage is known and plans may change its load.
func (z Zone) isPlannable() bool { return !z.Stale && !z.Drained && !z.NoProxies }

// UsedCPU returns the total CPU time of all routes.
func (z Zone) UsedCPU() float64 {
	sum := 0.0
	for _, usage := range z.Usage {
		sum += usage.CPU
	}
	return sum
}

// SortByDistance sorts zones in place by their distance from one, then by name.
func SortByDistance(zones []ids.Name, from ids.Name, distance func(a, b ids.Name) float64) {
	slices.SortFunc(zones, func(a, b ids.Name) int {
		return cmp.Or(cmp.Compare(distance(from, a), distance(from, b)), cmp.Compare(a, b))
	})
}
