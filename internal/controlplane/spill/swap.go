package spill

import (
	"slices"

	"dunlinwell/internal/base/ids"
)

// homely is the share of a route at home below which it counts as away.
const homely = 0.05

// swap puts the order of each cell's moves right. Moves end one by one: their
// destination is emptied, its reports stay away, or it sends them back. Then an
// urgent route may be away while a lesser one is home. The lesser takes its
// place, there and here, so that no cell's load changes by it; but for a nearer
// cell that has come to have room meanwhile, which takes it first.
func (p *planner) swap() {
	for i := range p.Cells {
		c := &p.Cells[i]
		if c.Stale || c.Emptied || c.Gone {
			continue
		}
		rows := p.all(c)
		// The most urgent first, each against the least urgent.
		for hi := len(rows) - 1; hi > 0; hi-- {
			for lo := 0; lo < hi; lo++ {
				p.exchange(c, rows[hi].Route, rows[lo].Route)
			}
		}
	}
}

// all ranks the routes that a cell's own connections ask for, the least first.
func (p *planner) all(c *Cell) []Row {
	rows := slices.Clone(c.Rows)
	for _, m := range p.moves {
		if m.From == c.Name && !slices.ContainsFunc(rows, func(r Row) bool { return r.Route == m.Route }) {
			rows = append(rows, Row{Rank: p.Ranks[m.Route]})
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return order(a.Rank, b.Rank) })
	return rows
}

// exchange lets a lesser route go where an urgent one of the same cell went.
func (p *planner) exchange(c *Cell, hi, lo ids.Name) {
	high, low := p.demand(c, hi), p.demand(c, lo)
	home := (1 - p.out(c.Name, lo)) * low
	if high <= 0 || home <= homely*low {
		return
	}
	for i := 0; i < len(p.moves) && home > 0; i++ {
		m := p.moves[i]
		if m.From != c.Name || m.Route != hi || m.Fraction <= 0 {
			continue
		}
		part := min(home, m.Fraction*high)
		home -= part
		p.moves[i].Fraction -= part / high
		p.moves[i].Amount = max(0, m.Amount-part)
		p.replace(m, lo, part, low)
	}
}

// replace enters a lesser route's moves in place of an urgent one's.
func (p *planner) replace(urgent Move, lesser ids.Name, amount, demand float64) {
	enter := func(to ids.Name, part float64) {
		p.add(Move{From: urgent.From, To: to, Route: lesser, Fraction: part / demand, Amount: part, Why: "in place of " + string(urgent.Route)})
	}
	for _, n := range p.near(urgent.From) {
		if p.Distance(urgent.From, n) >= p.Distance(urgent.From, urgent.To) {
			break
		}
		if part := min(amount, p.room[n]); part > 0 {
			p.room[n] -= part
			amount -= part
			enter(n, part)
		}
	}
	if amount > 0 {
		enter(urgent.To, amount)
	}
}
