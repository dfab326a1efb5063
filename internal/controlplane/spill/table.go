package spill

import (
	"cmp"
	"slices"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/transport/wire"
)

// Move is a fraction of a route's fresh connections that one zone hands to another.
type Move struct {
	From     ids.Name
	To       ids.Name
	Route    ids.Name
	Fraction float64
	// PlannedCPU is the CPU time that the move is expected to shift, in milliseconds
	// per second.
	PlannedCPU float64
	// Reason says for operators what last changed the move.
	Reason string
}

// The reasons of moves, as operators see them.
const (
	// reasonOverMaximum: the origin was over its maximum.
	reasonOverMaximum = "over its maximum"
	// reasonRecalled: the origin has recovered and takes a part back.
	reasonRecalled = "being called back"
	// reasonReturned: the destination was over its maximum and sent a part back.
	reasonReturned = "shrunk: the destination is over its maximum"
	// reasonExpiring: an end of the move has been stale for several plans.
	reasonExpiring = "expiring: reports are stale"
	// reasonInPlaceOf comes before the name of a more urgent route that came home.
	reasonInPlaceOf = "in place of "
)

// Table is a plan as registries distribute it. It is replaced by one of a later epoch, and
// within an epoch by one with a higher number.
type Table struct {
	Epoch  ids.Epoch
	Number ids.StreamNumber
	Moves  []Move
	// Demands are those of the zones that moves come from. They weigh the routes of
	// lookups that stand for several.
	Demands []RouteDemand
}

// RouteDemand is the CPU time that a route's fresh connections use in a zone, in
// milliseconds per second.
type RouteDemand struct {
	Zone, Route ids.Name
	CPU         float64
}

// Both messages are part of the wire protocol: field order and kind are fixed.
var (
	_ = wire.Register(90, Table{})
	_ = wire.Register(91, Report{})
)

// MessageEpoch returns the epoch that stands in the message's header.
func (t Table) MessageEpoch() uint64 { return uint64(t.Epoch) }

// Newer tells whether t replaces u.
func (t Table) Newer(u Table) bool {
	return cmp.Or(cmp.Compare(t.Epoch, u.Epoch), cmp.Compare(t.Number, u.Number)) > 0
}

// minTotalDemand avoids a division by zero where no demand is known.
const minTotalDemand = 1e-9

// PickRoute picks one of some routes in proportion to their demand in a zone, by a random
// draw from 0 up to 1. It returns "" where no demand is known, as nothing is moved there.
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
