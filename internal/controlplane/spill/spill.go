// Package spill plans the spill: what share of fresh connections each zone
// hands to another, after Cloudflare's Traffic Manager. One plan covers all
// zones and keeps one account of room.
package spill

import (
	"cmp"
	"slices"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/transport/wire"
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

// Move is a share of a route's fresh connections that one zone hands to another.
type Move struct {
	From     ids.Name
	To       ids.Name
	Route    ids.Name
	Fraction float64
	// PlannedCPU is the CPU time that the move was planned to be, in ms a second.
	PlannedCPU float64
	Reason     string
}

// Table is a plan under its epoch; a higher epoch or number replaces it.
type Table struct {
	Epoch  ids.Epoch
	Number ids.StreamNumber
	Moves  []Move
	// Demands are what routes use in zones that hand something on, for asks that
	// stand for several routes.
	Demands []RouteDemand
}

// RouteDemand is what fresh connections of a route use in a zone, in ms a second.
type RouteDemand struct {
	Zone, Route ids.Name
	CPU         float64
}

// MessageEpoch puts the epoch into the frame's head.
func (t Table) MessageEpoch() uint64 { return uint64(t.Epoch) }

// Newer tells whether t replaces u.
func (t Table) Newer(u Table) bool {
	return cmp.Or(cmp.Compare(t.Epoch, u.Epoch), cmp.Compare(t.Number, u.Number)) > 0
}

var _ = wire.Register(90, Table{})

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

func compareRanks(a, b Rank) int {
	switch {
	case a.Less(b):
		return -1
	case b.Less(a):
		return 1
	}
	return 0
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
