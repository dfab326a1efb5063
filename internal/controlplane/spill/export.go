package spill

import (
	"cmp"
	"slices"

	"dunlinwell/internal/base/ids"
)

// account opens the one account of room: what each cell may still receive
// before its acceptable level. A cell with moves of its own out, or over its
// acceptable level, or with stale reports, has none.
func (p *planner) account() {
	for n, c := range p.cells {
		if c.Stale || c.Emptied || c.Gone {
			continue
		}
		if slices.ContainsFunc(p.moves, func(m Move) bool { return m.From == n }) {
			continue
		}
		if free := c.Acceptable - p.used(c); free > 0 {
			p.room[n] = free
		}
	}
}

// near orders the other cells by distance from one.
func (p *planner) near(from ids.Name) []ids.Name {
	var out []ids.Name
	for n := range p.cells {
		if n != from {
			out = append(out, n)
		}
	}
	slices.SortFunc(out, func(a, b ids.Name) int {
		return cmp.Or(cmp.Compare(p.Distance(from, a), p.Distance(from, b)), cmp.Compare(a, b))
	})
	return out
}

// export plans the moves out of every cell over its maximum.
func (p *planner) export() {
	wants, want, room := map[ids.Name]float64{}, 0.0, 0.0
	// In order, as sums of floats differ by it, and one seed is one run.
	for i := range p.Cells {
		c := &p.Cells[i]
		n, used := c.Name, p.used(c)
		if c.Stale || c.Emptied || c.Gone || used <= c.Maximum {
			continue
		}
		wants[n] = Excess(used, used, c.Target)
		want += wants[n]
		// A cell that sheds can't take in what another sheds.
		delete(p.room, n)
	}
	for _, n := range slices.Sorted(keys(p.room)) {
		room += p.room[n]
	}
	if want == 0 || room == 0 {
		return
	}
	// Too little room is shared by need; the lowest tiers still go first.
	scale := min(1, room/want)
	var leaving []Outgoing
	for _, n := range slices.Sorted(keys(wants)) {
		for _, r := range Leavers(p.own(p.cells[n]), wants[n]*scale) {
			leaving = append(leaving, Outgoing{Row: r, From: n})
		}
	}
	// Demand as it was before this pass: fractions refer to it.
	demand := map[[2]ids.Name]float64{}
	for _, l := range leaving {
		demand[[2]ids.Name{l.From, l.Route}] = p.demand(p.cells[l.From], l.Route)
	}
	for _, h := range Place(leaving, p.room, p.near) {
		d := demand[[2]ids.Name{h.From, h.Route}]
		if d <= 0 {
			continue
		}
		p.add(Move{From: h.From, To: h.To, Route: h.Route, Fraction: h.CPU / d, Amount: h.CPU, Why: "over its maximum"})
	}
}

func keys[V any](m map[ids.Name]V) func(func(ids.Name) bool) {
	return func(yield func(ids.Name) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

// own is the CPU time that a cell can still hand on: its own fresh connections',
// not what others gave it.
func (p *planner) own(c *Cell) []Row {
	in := map[ids.Name]float64{}
	for _, m := range p.moves {
		if m.To == c.Name && p.cells[m.From] != nil {
			in[m.Route] += m.Fraction * p.demand(p.cells[m.From], m.Route)
		}
	}
	var out []Row
	for _, r := range c.Rows {
		// A route that is gone shows in the mean for a while. Counting it as moved
		// would leave what it can't move where it is, and charge for it.
		if _, ranked := p.Ranks[r.Route]; !ranked {
			continue
		}
		r.CPU = max(r.CPU+p.back[[2]ids.Name{c.Name, r.Route}]-in[r.Route], 0)
		// Of a route that is all away there is nothing fresh left to hand on;
		// what it uses here are connections that stay until they end by themselves.
		if p.out(c.Name, r.Route) > 1-homely {
			r.CPU = 0
		}
		out = append(out, r)
	}
	return out
}

// add enters a move; all of a route's moves out of a cell make one at most.
func (p *planner) add(m Move) {
	m.Fraction = min(m.Fraction, 1-p.out(m.From, m.Route))
	if m.Fraction <= 0 {
		return
	}
	for i, have := range p.moves {
		if have.From == m.From && have.To == m.To && have.Route == m.Route {
			p.moves[i].Fraction += m.Fraction
			p.moves[i].Amount += m.Amount
			p.moves[i].Why = m.Why
			return
		}
	}
	p.moves = append(p.moves, m)
}
