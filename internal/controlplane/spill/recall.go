package spill

import (
	"slices"

	"dunlinwell/internal/base/ids"
)

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
