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

// zonesByDistance orders the other zones by distance from one.
func (p *planner) zonesByDistance(from ids.Name) []ids.Name {
	var out []ids.Name
	for n := range p.zones {
		if n != from {
			out = append(out, n)
		}
	}
	slices.SortFunc(out, func(a, b ids.Name) int {
		return cmp.Or(cmp.Compare(p.Distance(from, a), p.Distance(from, b)), cmp.Compare(a, b))
	})
	return out
}

// addMove enters a move; all of a route's moves out of a zone make one at most.
func (p *planner) addMove(m Move) {
	m.Fraction = min(m.Fraction, 1-p.movedFraction(m.From, m.Route))
	if m.Fraction <= 0 {
		return
	}
	for i, have := range p.moves {
		if have.From == m.From && have.To == m.To && have.Route == m.Route {
			p.moves[i].Fraction += m.Fraction
			p.moves[i].PlannedCPU += m.PlannedCPU
			p.moves[i].Reason = m.Reason
			return
		}
	}
	p.moves = append(p.moves, m)
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
