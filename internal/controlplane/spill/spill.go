// Package spill plans the spill: what share of fresh connections each cell
// hands to another, after Cloudflare's Traffic Manager. One plan covers all
// cells and keeps one account of room.
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

// Row is CPU time that one route uses in a cell, in ms a second.
type Row struct {
	Rank
	CPU float64
}

// Cell is a cell as the planner sees it.
type Cell struct {
	Name       ids.Name
	Target     float64
	Acceptable float64
	Maximum    float64
	Rows       []Row
	// Emptied cells neither plan nor receive; Stale ones receive nothing more.
	Emptied bool
	Stale   bool
	// Gone cells have no proxy left at all.
	Gone bool
	// Missed counts the plans for which the cell has been stale.
	Missed int
}

// Used is all CPU time used in the cell.
func (c Cell) Used() float64 {
	sum := 0.0
	for _, r := range c.Rows {
		sum += r.CPU
	}
	return sum
}

// Move is a share of a route's fresh connections that one cell hands to another.
type Move struct {
	From     ids.Name
	To       ids.Name
	Route    ids.Name
	Fraction float64
	// Amount is the CPU time that the move was planned to be, in ms a second.
	Amount float64
	Why    string
}

// Table is a plan under its epoch; a higher epoch or number replaces it.
type Table struct {
	Epoch  ids.Epoch
	Number ids.Number
	Moves  []Move
	// Uses are what routes use in cells that hand something on, for asks that
	// stand for several routes.
	Uses []Use
}

// Use is what fresh connections of a route use in a cell, in ms a second.
type Use struct {
	Cell, Route ids.Name
	CPU         float64
}

// UnderEpoch puts the epoch into the frame's head.
func (t Table) UnderEpoch() uint64 { return uint64(t.Epoch) }

// Newer tells whether t replaces u.
func (t Table) Newer(u Table) bool {
	return cmp.Or(cmp.Compare(t.Epoch, u.Epoch), cmp.Compare(t.Number, u.Number)) > 0
}

var _ = wire.Register(90, Table{})

// Excess is what a cell must move to come back to its target: what it uses
// times 1 - target/utilisation. Both levels are in the same unit.
func Excess(used, utilisation, target float64) float64 {
	if utilisation <= target || utilisation <= 0 {
		return 0
	}
	return used * (1 - target/utilisation)
}

// Leavers picks what leaves of an amount, lowest rank first; the last one
// leaves in part.
func Leavers(rows []Row, amount float64) []Row {
	rows = slices.Clone(rows)
	slices.SortFunc(rows, func(a, b Row) int { return order(a.Rank, b.Rank) })
	var out []Row
	for _, r := range rows {
		if amount <= 0 {
			break
		}
		r.CPU = min(r.CPU, amount)
		amount -= r.CPU
		if r.CPU > 0 {
			out = append(out, r)
		}
	}
	return out
}

func order(a, b Rank) int {
	switch {
	case a.Less(b):
		return -1
	case b.Less(a):
		return 1
	}
	return 0
}

// Outgoing is CPU time that leaves a cell.
type Outgoing struct {
	Row
	From ids.Name
}

// Haul is where CPU time goes.
type Transfer struct {
	Outgoing
	To ids.Name
}

// Place gives the most urgent of all that leaves, from whatever cell, the
// nearest room. The account of room is one, so that several hot cells can't
// overfill a destination; it is used up in place.
func Place(leaving []Outgoing, room map[ids.Name]float64, near func(from ids.Name) []ids.Name) []Transfer {
	leaving = slices.Clone(leaving)
	slices.SortStableFunc(leaving, func(a, b Outgoing) int {
		return cmp.Or(-order(a.Rank, b.Rank), cmp.Compare(a.From, b.From))
	})
	var out []Transfer
	for _, l := range leaving {
		left := l.CPU
		for _, to := range near(l.From) {
			if left <= 0 {
				break
			}
			part := min(left, room[to])
			if to == l.From || part <= 0 {
				continue
			}
			room[to] -= part
			left -= part
			h := Transfer{Outgoing: l, To: to}
			h.CPU = part
			out = append(out, h)
		}
	}
	return out
}
