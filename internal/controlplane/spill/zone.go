package spill

import (
	"cmp"

	"dunlinwell/internal/base/ids"
)

// Rank orders routes: the route's tier, then its service's; 9 is the most
// urgent. Ties go by id.
type Rank struct {
	Tier    int
	Service int
	Route   ids.Name
}

// Less tells whether r leaves before s.
func (r Rank) Less(s Rank) bool {
	return cmp.Or(cmp.Compare(r.Tier, s.Tier), cmp.Compare(r.Service, s.Service), cmp.Compare(r.Route, s.Route)) < 0
}

func compareRanks(a, b Rank) int {
	switch {
	case a.Less(b):
		return -1
	case b.Less(a):
		return 1
	}
	return 0
}

// RouteUsage is CPU time that one route uses in a zone, in ms a second.
type RouteUsage struct {
	Rank
	CPU float64
}

// Zone is a zone as the planner sees it.
type Zone struct {
	Name       ids.Name
	Target     float64
	Acceptable float64
	Maximum    float64
	Usage      []RouteUsage
	// Drained zones neither plan nor receive; Stale ones receive nothing more.
	Drained bool
	Stale   bool
	// NoProxies zones have no proxy left at all.
	NoProxies bool
	// StalePlans counts the plans for which the zone has been stale.
	StalePlans int
}

// Used is all CPU time used in the zone.
func (z Zone) Used() float64 {
	sum := 0.0
	for _, r := range z.Usage {
		sum += r.CPU
	}
	return sum
}
