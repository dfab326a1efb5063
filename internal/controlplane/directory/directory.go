// Package signpost answers "where do I go": addresses of proxies in the cell
// that a fresh ask is drawn to, and for how long to trust them.
package directory

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/spill"
)

// Sight is all that an answer goes by.
type Snapshot struct {
	// Proxies are those alive, ready and in step.
	Proxies []membership.Member
	Emptied map[ids.Name]bool
	Moves   []spill.Move
	// Demand is what a cell's fresh connections used when it was last well.
	Demand   func(cell ids.Name) float64
	Distance func(a, b ids.Name) float64
	Room     func(cell ids.Name) float64
}

// Way is an answer.
type Destination struct {
	Cell    ids.Name
	Proxies []ids.Address
	// Moved tells that a plan drew the ask away from its own cell.
	Moved bool
}

// most is how many addresses one answer holds, all of the same cell.
const most = 3

// Point draws the way for one fresh ask. Only fresh asks are drawn: a live
// connection never hears of it.
func (s Snapshot) Point(cell, route ids.Name, dice *rand.Rand) (Destination, bool) {
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
		return Destination{}, false
	}
	return s.way(open, to, false, dice), true
}

// open gives the proxies of every cell that takes new work.
func (s Snapshot) open() map[ids.Name][]membership.Member {
	out := map[ids.Name][]membership.Member{}
	for _, c := range s.Proxies {
		if !s.Emptied[c.Zone] {
			out[c.Zone] = append(out[c.Zone], c)
		}
	}
	return out
}

// failover shares a lost or emptied cell's asks by room, nearest first: each
// neighbour is drawn in proportion to what it would be filled with.
func (s Snapshot) failover(open map[ids.Name][]membership.Member, from ids.Name, dice *rand.Rand) (ids.Name, bool) {
	var near []ids.Name
	for n := range open {
		near = append(near, n)
	}
	if len(near) == 0 {
		return "", false
	}
	slices.SortFunc(near, func(a, b ids.Name) int {
		return cmp.Or(cmp.Compare(s.Distance(from, a), s.Distance(from, b)), cmp.Compare(a, b))
	})
	// One whose own connections are still sent away has no room for others'.
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

// spills tells whether a cell's own connections are sent away.
func (s Snapshot) spills(cell ids.Name) bool {
	return slices.ContainsFunc(s.Moves, func(m spill.Move) bool { return m.From == cell })
}

func (s Snapshot) way(open map[ids.Name][]membership.Member, cell ids.Name, moved bool, dice *rand.Rand) Destination {
	w := Destination{Cell: cell, Moved: moved}
	list := slices.Clone(open[cell])
	dice.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	for _, c := range list[:min(most, len(list))] {
		w.Proxies = append(w.Proxies, c.Consumers())
	}
	return w
}
