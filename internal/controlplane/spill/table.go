package spill

import (
	"cmp"
	"slices"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/transport/wire"
)

// Move is a fraction of a route's new connections that is moved from one zone to another.
type Move struct {
	From     ids.Name
	To       ids.Name
	Route    ids.Name
	Fraction float64
	// PlannedCPU is the CPU time that the move is expected to transfer, in milliseconds
	// per second.
	PlannedCPU float64
	// Reason tells operators why the move was last changed.
	Reason string
}

// The reasons of moves that operators see.
const (
	// reasonOverMaximum: the origin was over its maximum.
	reasonOverMaximum = "over its maximum"
	// reasonRecalled: the origin recovered and recalled a part.
	reasonRecalled = "being called back"
	// reasonReturned: the destination was over its maximum and returned a part.
	reasonReturned = "shrunk: the destination is over its maximum"
	// reasonExpiring: the origin or destination has been stale for several plans.
	reasonExpiring = "expiring: reports are stale"
	// reasonInPlaceOf is followed by the name of the more urgent route that became local.
	reasonInPlaceOf = "in place of "
)

// Table is a plan in the form that registries distribute. A table of a later epoch replaces it,
// and within an epoch one with a higher number.
type Table struct {
	Epoch  ids.Epoch
	Number ids.StreamNumber
	Moves  []Move
	// Demands has the demands of the zones that are the origin of a move. They weight the
	// routes of a lookup that covers several routes.
	Demands []RouteDemand
}

// RouteDemand is the CPU time that a route's new connections use in a zone, in
// milliseconds per second.
type RouteDemand struct {
	Zone, Route ids.Name
	CPU         float64
}

// Both messages are part of the wire protocol: the order of fields and the kind numbers are
// fixed.
var (
	_ = wire.Register(90, Table{})
	_ = wire.Register(91, Report{})
)

// MessageEpoch returns the epoch for the message's header.
func (t Table) MessageEpoch() uint64 { return uint64(t.Epoch) }

// Newer reports whether t replaces u.
func (t Table) Newer(u Table) bool {
	return cmp.Or(cmp.Compare(t.Epoch, u.Epoch), cmp.Compare(t.Number, u.Number)) > 0
}

// minTotalDemand avoids a division by zero if no demand is known.
const minTotalDemand = 1e-9

// PickRoute picks one of the routes with a probability proportional to its demand in the zone.
// The draw is a random number in [0, 1). PickRoute returns "" if no demand is known, in which
// case no connections of the zone are moved.
func (t Table) PickRoute(zone ids.Name, routes []ids.Name, draw float64) ids.Name {
	total := 0.0
	var demands []RouteDemand
	for _, demand := range t.Demands {
		if demand.Zone == zone && slices.Contains(routes, demand.Route) {
			demands = append(demands, demand)
			total += demand.CPU
		}
	}
	for _, demand := range demands {
		if draw -= demand.CPU / max(total, minTotalDemand); draw < 0 {
			return demand.Route
		}
	}
	return ""
}
