package spill

import (
	"cmp"
	"slices"

	"dunlinwell/internal/base/ids"
)

// View is all that one plan goes by.
type View struct {
	Cells    []Cell
	Distance func(a, b ids.Name) float64
	Ranks    map[ids.Name]Rank
	// Pending is CPU time that earlier plans sent to a cell and that its
	// reports can't show yet; it stays charged to its room. Leaving is the
	// same for cells that plans took from.
	Pending map[ids.Name]float64
	Leaving map[ids.Name]float64
}

const (
	// least is the smallest fraction worth keeping.
	least = 0.005
	// gain damps calling back: half of the free room each plan, so that a
	// cell doesn't swing between its acceptable level and its maximum.
	gain = 0.5
	// expireAfter is how many stale plans a move outlives before it shrinks.
	expireAfter = 2
)

// planner is one pass over all cells.
type planner struct {
	View
	cells map[ids.Name]*Cell
	moves []Move
	room  map[ids.Name]float64
	// back is CPU time, by cell and route, that comes home because its moves
	// ended just now; reports can't show it yet.
	back map[[2]ids.Name]float64
}

// Plan gives the next moves from the last ones and what was reported.
func Plan(v View, last []Move) []Move {
	p := &planner{View: v, cells: map[ids.Name]*Cell{}, moves: slices.Clone(last), room: map[ids.Name]float64{}, back: map[[2]ids.Name]float64{}}
	for i := range v.Cells {
		p.cells[v.Cells[i].Name] = &v.Cells[i]
	}
	p.expire()
	for i := range v.Cells {
		p.recall(&v.Cells[i])
	}
	for i := range v.Cells {
		p.sendBack(&v.Cells[i])
	}
	p.account()
	p.swap()
	p.export()
	p.moves = slices.DeleteFunc(p.moves, func(m Move) bool { return m.Fraction < least })
	slices.SortFunc(p.moves, func(a, b Move) int {
		return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.Route, b.Route), cmp.Compare(a.To, b.To))
	})
	return p.moves
}

// used is a cell's CPU time as it will be once earlier plans show.
func (p *planner) used(c *Cell) float64 {
	sum := c.Used() + p.Pending[c.Name] - p.Leaving[c.Name]
	for _, r := range slices.Sorted(keys(p.Ranks)) {
		sum += p.back[[2]ids.Name{c.Name, r}]
	}
	return max(sum, 0)
}

// out is the share of a route's fresh connections that a cell hands on.
func (p *planner) out(from, route ids.Name) float64 {
	sum := 0.0
	for _, m := range p.moves {
		if m.From == from && m.Route == route {
			sum += m.Fraction
		}
	}
	return sum
}

// demand is a route's CPU time by fresh connections that begin at a cell: what
// it keeps, scaled up by what it hands on. What it keeps includes connections held
// since before the moves, so scaling alone would take a few of those for a
// crowd: it never counts for more than what is kept and what was moved.
func (p *planner) demand(c *Cell, route ids.Name) float64 {
	back := p.back[[2]ids.Name{c.Name, route}]
	kept := 0.0
	for _, r := range c.Rows {
		if r.Route == route {
			kept += r.CPU
		}
	}
	sum := kept + back
	for _, m := range p.moves {
		if m.From == c.Name && m.Route == route {
			sum += m.Amount
		}
	}
	share := 1 - p.out(c.Name, route)
	if share < 0.05 {
		return sum
	}
	return min((kept+back)/share, sum)
}

// expire drops moves that have lost an end, and shrinks, step by step, those
// whose ends have been silent for several plans.
func (p *planner) expire() {
	p.moves = slices.DeleteFunc(p.moves, func(m Move) bool {
		from, to := p.cells[m.From], p.cells[m.To]
		_, ranked := p.Ranks[m.Route]
		ended := !ranked || from == nil || to == nil || to.Emptied || to.Gone || from.Emptied
		if ended {
			p.back[[2]ids.Name{m.From, m.Route}] += m.Amount
		}
		return ended
	})
	for i, m := range p.moves {
		if n := max(p.cells[m.From].Missed, p.cells[m.To].Missed); n > expireAfter {
			p.back[[2]ids.Name{m.From, m.Route}] += m.Amount / 2
			p.moves[i].Fraction /= 2
			p.moves[i].Amount /= 2
			p.moves[i].Why = "expiring: reports are stale"
		}
	}
}

// recall lets a recovered cell call its own moves home, the most urgent
// first, before anything else is weighed. It accepts from others only when
// none of its own is left.
func (p *planner) recall(c *Cell) {
	used := p.used(c)
	if c.Stale || c.Emptied || c.Gone || used >= c.Acceptable {
		return
	}
	free := (c.Target - used) * gain
	var own []int
	for i, m := range p.moves {
		if m.From == c.Name {
			own = append(own, i)
		}
	}
	slices.SortStableFunc(own, func(a, b int) int { return -order(p.Ranks[p.moves[a].Route], p.Ranks[p.moves[b].Route]) })
	// Demand is taken before any fraction changes, or the sums would drift.
	demands := map[ids.Name]float64{}
	for _, i := range own {
		r := p.moves[i].Route
		if _, ok := demands[r]; !ok {
			demands[r] = p.demand(c, r)
		}
	}
	for _, i := range own {
		m := &p.moves[i]
		d := demands[m.Route]
		moved := m.Fraction * d
		if d <= 0 || moved <= free {
			free -= moved
			m.Fraction = 0
			continue
		}
		m.Fraction -= max(free, 0) / d
		m.Amount = m.Fraction * d
		m.Why = "being called back"
		free = 0
	}
	p.moves = slices.DeleteFunc(p.moves, func(m Move) bool { return m.Fraction < least })
}

// sendBack makes a destination that came over its maximum return what it was
// given, lowest rank first, before it moves anything of its own.
func (p *planner) sendBack(c *Cell) {
	used := p.used(c)
	if c.Stale || used <= c.Maximum {
		return
	}
	over := Excess(used, used, c.Target)
	var in []int
	for i, m := range p.moves {
		if m.To == c.Name {
			in = append(in, i)
		}
	}
	slices.SortStableFunc(in, func(a, b int) int { return order(p.Ranks[p.moves[a].Route], p.Ranks[p.moves[b].Route]) })
	for _, i := range in {
		m := &p.moves[i]
		if over <= 0 || m.Fraction <= 0 {
			break
		}
		d := p.demand(p.cells[m.From], m.Route)
		back := min(over, m.Fraction*d)
		if d > 0 {
			m.Fraction -= back / d
			m.Amount = m.Fraction * d
		} else {
			m.Fraction = 0
		}
		m.Why = "shrunk: the destination is over its maximum"
		over -= back
		p.Leaving[c.Name] += back
		p.Pending[m.From] += back
	}
}
