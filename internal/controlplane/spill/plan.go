package spill

import (
	"cmp"
	"slices"

	"dunlinwell/internal/base/ids"
)

// PlannerInput is all that one plan goes by.
type PlannerInput struct {
	Zones    []Zone
	Distance func(a, b ids.Name) float64
	Ranks    map[ids.Name]Rank
	// PendingIn is CPU time that earlier plans sent to a zone and that its
	// reports can't show yet; it stays charged to its room. Leaving is the
	// same for zones that plans took from.
	PendingIn  map[ids.Name]float64
	PendingOut map[ids.Name]float64
}

const (
	// minFraction is the smallest fraction worth keeping.
	minFraction = 0.005
	// recallGain damps calling back: half of the free room each plan, so that a
	// zone doesn't swing between its acceptable level and its maximum.
	recallGain = 0.5
	// maxStalePlans is how many stale plans a move outlives before it shrinks.
	maxStalePlans = 2
)

// planner is one pass over all zones.
type planner struct {
	PlannerInput
	zones map[ids.Name]*Zone
	moves []Move
	room  map[ids.Name]float64
	// returning is CPU time, by zone and route, that comes home because its moves
	// ended just now; reports can't show it yet.
	returning map[[2]ids.Name]float64
}

// Plan gives the next moves from the last ones and what was reported.
func Plan(input PlannerInput, previous []Move) []Move {
	p := &planner{PlannerInput: input, zones: map[ids.Name]*Zone{}, moves: slices.Clone(previous), room: map[ids.Name]float64{}, returning: map[[2]ids.Name]float64{}}
	for i := range input.Zones {
		p.zones[input.Zones[i].Name] = &input.Zones[i]
	}
	p.expireMoves()
	for i := range input.Zones {
		p.recallMoves(&input.Zones[i])
	}
	for i := range input.Zones {
		p.returnExcess(&input.Zones[i])
	}
	p.computeRoom()
	p.prioritizeMoves()
	p.exportExcess()
	p.moves = slices.DeleteFunc(p.moves, func(m Move) bool { return m.Fraction < minFraction })
	slices.SortFunc(p.moves, func(a, b Move) int {
		return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.Route, b.Route), cmp.Compare(a.To, b.To))
	})
	return p.moves
}

// expectedUse is a zone's CPU time as it will be once earlier plans show.
func (p *planner) expectedUse(zone *Zone) float64 {
	sum := zone.Used() + p.PendingIn[zone.Name] - p.PendingOut[zone.Name]
	for _, r := range slices.Sorted(keys(p.Ranks)) {
		sum += p.returning[[2]ids.Name{zone.Name, r}]
	}
	return max(sum, 0)
}

// movedFraction is the share of a route's fresh connections that a zone hands on.
func (p *planner) movedFraction(from, route ids.Name) float64 {
	sum := 0.0
	for _, m := range p.moves {
		if m.From == from && m.Route == route {
			sum += m.Fraction
		}
	}
	return sum
}

// demand is a route's CPU time by fresh connections that begin at a zone: what
// it keeps, scaled up by what it hands on. What it keeps includes connections held
// since before the moves, so scaling alone would take a few of those for a
// crowd: it never counts for more than what is kept and what was moved.
func (p *planner) demand(zone *Zone, route ids.Name) float64 {
	back := p.returning[[2]ids.Name{zone.Name, route}]
	kept := 0.0
	for _, r := range zone.Usage {
		if r.Route == route {
			kept += r.CPU
		}
	}
	sum := kept + back
	for _, m := range p.moves {
		if m.From == zone.Name && m.Route == route {
			sum += m.PlannedCPU
		}
	}
	share := 1 - p.movedFraction(zone.Name, route)
	if share < 0.05 {
		return sum
	}
	return min((kept+back)/share, sum)
}

// expireMoves drops moves that have lost an end, and shrinks, step by step, those
// whose ends have been silent for several plans.
func (p *planner) expireMoves() {
	p.moves = slices.DeleteFunc(p.moves, func(m Move) bool {
		from, to := p.zones[m.From], p.zones[m.To]
		_, ranked := p.Ranks[m.Route]
		ended := !ranked || from == nil || to == nil || to.Drained || to.NoProxies || from.Drained
		if ended {
			p.returning[[2]ids.Name{m.From, m.Route}] += m.PlannedCPU
		}
		return ended
	})
	for i, m := range p.moves {
		if n := max(p.zones[m.From].StalePlans, p.zones[m.To].StalePlans); n > maxStalePlans {
			p.returning[[2]ids.Name{m.From, m.Route}] += m.PlannedCPU / 2
			p.moves[i].Fraction /= 2
			p.moves[i].PlannedCPU /= 2
			p.moves[i].Reason = "expiring: reports are stale"
		}
	}
}

// recallMoves lets a recovered zone call its own moves home, the most urgent
// first, before anything else is weighed. It accepts from others only when
// none of its own is left.
func (p *planner) recallMoves(zone *Zone) {
	used := p.expectedUse(zone)
	if zone.Stale || zone.Drained || zone.NoProxies || used >= zone.Acceptable {
		return
	}
	free := (zone.Target - used) * recallGain
	var outgoing []int
	for i, m := range p.moves {
		if m.From == zone.Name {
			outgoing = append(outgoing, i)
		}
	}
	slices.SortStableFunc(outgoing, func(a, b int) int { return -compareRanks(p.Ranks[p.moves[a].Route], p.Ranks[p.moves[b].Route]) })
	// Demand is taken before any fraction changes, or the sums would drift.
	demands := map[ids.Name]float64{}
	for _, i := range outgoing {
		r := p.moves[i].Route
		if _, ok := demands[r]; !ok {
			demands[r] = p.demand(zone, r)
		}
	}
	for _, i := range outgoing {
		m := &p.moves[i]
		d := demands[m.Route]
		moved := m.Fraction * d
		if d <= 0 || moved <= free {
			free -= moved
			m.Fraction = 0
			continue
		}
		m.Fraction -= max(free, 0) / d
		m.PlannedCPU = m.Fraction * d
		m.Reason = "being called back"
		free = 0
	}
	p.moves = slices.DeleteFunc(p.moves, func(m Move) bool { return m.Fraction < minFraction })
}

// returnExcess makes a destination that came over its maximum return what it was
// given, lowest rank first, before it moves anything of its own.
func (p *planner) returnExcess(zone *Zone) {
	used := p.expectedUse(zone)
	if zone.Stale || used <= zone.Maximum {
		return
	}
	excess := ExcessCPU(used, used, zone.Target)
	var incoming []int
	for i, m := range p.moves {
		if m.To == zone.Name {
			incoming = append(incoming, i)
		}
	}
	slices.SortStableFunc(incoming, func(a, b int) int { return compareRanks(p.Ranks[p.moves[a].Route], p.Ranks[p.moves[b].Route]) })
	for _, i := range incoming {
		m := &p.moves[i]
		if excess <= 0 || m.Fraction <= 0 {
			break
		}
		d := p.demand(p.zones[m.From], m.Route)
		back := min(excess, m.Fraction*d)
		if d > 0 {
			m.Fraction -= back / d
			m.PlannedCPU = m.Fraction * d
		} else {
			m.Fraction = 0
		}
		m.Reason = "shrunk: the destination is over its maximum"
		excess -= back
		p.PendingOut[zone.Name] += back
		p.PendingIn[m.From] += back
	}
}
