package spill

import (
	"cmp"
	"slices"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/transport/wire"
)

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

var _ = wire.Register(90, Table{})

// MessageEpoch puts the epoch into the frame's head.
func (t Table) MessageEpoch() uint64 { return uint64(t.Epoch) }

// Newer tells whether t replaces u.
func (t Table) Newer(u Table) bool {
	return cmp.Or(cmp.Compare(t.Epoch, u.Epoch), cmp.Compare(t.Number, u.Number)) > 0
}

// RouteDemand is what fresh connections of a route use in a zone, in ms a second.
type RouteDemand struct {
	Zone, Route ids.Name
	CPU         float64
}

// PickRoute picks one of some routes by what each uses in a zone, with a draw from 0
// up to 1; none where nothing is known, as nothing is moved there.
func (t Table) PickRoute(zone ids.Name, routes []ids.Name, draw float64) ids.Name {
	sum, own := 0.0, []RouteDemand{}
	for _, u := range t.Demands {
		if u.Zone == zone && slices.Contains(routes, u.Route) {
			own = append(own, u)
			sum += u.CPU
		}
	}
	for _, u := range own {
		if draw -= u.CPU / max(sum, 1e-9); draw < 0 {
			return u.Route
		}
	}
	return ""
}
