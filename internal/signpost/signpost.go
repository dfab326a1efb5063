// Package signpost answers "where do I go": addresses of counters in the cell
// that a fresh ask is drawn to, and for how long to trust them.
package signpost

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"dunlinwell/internal/haulage"
	"dunlinwell/internal/rollcall"
	"dunlinwell/internal/ticket"
)

// Sight is all that an answer goes by.
type Sight struct {
	// Counters are those alive, ready and in step.
	Counters []rollcall.Member
	Emptied  map[ticket.Name]bool
	Moves    []haulage.Move
	// Demand is what a cell's fresh circuits used when it was last well.
	Demand   func(cell ticket.Name) float64
	Distance func(a, b ticket.Name) float64
	Room     func(cell ticket.Name) float64
}

// Way is an answer.
type Way struct {
	Cell     ticket.Name
	Counters []ticket.Address
	// Moved tells that a plan drew the ask away from its own cell.
	Moved bool
}

// most is how many addresses one answer holds, all of the same cell.
const most = 3

// Point draws the way for one fresh ask. Only fresh asks are drawn: a live
// circuit never hears of it.
func (s Sight) Point(cell, route ticket.Name, dice *rand.Rand) (Way, bool) {
	open := s.open()
	if _, ok := open[cell]; ok {
		draw := dice.Float64()
		for _, m := range s.Moves {
			if m.From != cell || m.Route != route {
				continue
			}
			if draw -= m.Fraction; draw < 0 {
				// A destination that is gone or emptied is left out at once,
				// without waiting for the next plan.
				if _, ok := open[m.To]; ok {
					return s.way(open, m.To, true, dice), true
				}
				break
			}
		}
		return s.way(open, cell, false, dice), true
	}
	to, ok := s.failover(open, cell, dice)
	if !ok {
		return Way{}, false
	}
	return s.way(open, to, false, dice), true
}

// open gives the counters of every cell that takes new work.
func (s Sight) open() map[ticket.Name][]rollcall.Member {
	out := map[ticket.Name][]rollcall.Member{}
	for _, c := range s.Counters {
		if !s.Emptied[c.Cell] {
			out[c.Cell] = append(out[c.Cell], c)
		}
	}
	return out
}

// failover shares a lost or emptied cell's asks by room, nearest first: each
// neighbour is drawn in proportion to what it would be filled with.
func (s Sight) failover(open map[ticket.Name][]rollcall.Member, from ticket.Name, dice *rand.Rand) (ticket.Name, bool) {
	var near []ticket.Name
	for n := range open {
		near = append(near, n)
	}
	if len(near) == 0 {
		return "", false
	}
	slices.SortFunc(near, func(a, b ticket.Name) int {
		return cmp.Or(cmp.Compare(s.Distance(from, a), s.Distance(from, b)), cmp.Compare(a, b))
	})
	// One whose own circuits are still sent away has no room for others'.
	if home := slices.DeleteFunc(slices.Clone(near), s.spills); len(home) > 0 {
		near = home
	}
	left := s.Demand(from)
	share := make([]float64, len(near))
	sum := 0.0
	for i, n := range near {
		share[i] = min(left, max(s.Room(n), 0))
		left -= share[i]
		sum += share[i]
	}
	// Nothing known of demand or room: the nearest it is.
	if sum <= 0 {
		return near[0], true
	}
	draw := dice.Float64() * sum
	for i, n := range near {
		if draw -= share[i]; draw < 0 {
			return n, true
		}
	}
	return near[0], true
}

// spills tells whether a cell's own circuits are sent away.
func (s Sight) spills(cell ticket.Name) bool {
	return slices.ContainsFunc(s.Moves, func(m haulage.Move) bool { return m.From == cell })
}

func (s Sight) way(open map[ticket.Name][]rollcall.Member, cell ticket.Name, moved bool, dice *rand.Rand) Way {
	w := Way{Cell: cell, Moved: moved}
	list := slices.Clone(open[cell])
	dice.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	for _, c := range list[:min(most, len(list))] {
		w.Counters = append(w.Counters, c.Consumers())
	}
	return w
}
