package spill

import (
	"slices"

	"dunlinwell/internal/base/ids"
)

// maxStalePlans is the number of consecutive plans for which a move is kept unchanged while
// its origin or destination is stale. Each further plan halves it.
const maxStalePlans = 2

// expireMoves removes expired moves, and halves moves whose origin or destination has been
// stale for more than maxStalePlans plans.
func (p *planner) expireMoves() {
	p.moves = slices.DeleteFunc(p.moves, func(m Move) bool {
		expired := p.isExpired(m)
		if expired {
			p.returning[zoneRoute{m.From, m.Route}] += m.PlannedCPU
		}
		return expired
	})
	for i, m := range p.moves {
		if max(p.zones[m.From].StalePlans, p.zones[m.To].StalePlans) > maxStalePlans {
			p.returning[zoneRoute{m.From, m.Route}] += m.PlannedCPU / 2
			p.moves[i].Fraction /= 2
			p.moves[i].PlannedCPU /= 2
			p.moves[i].Reason = reasonExpiring
		}
	}
}

// isExpired reports whether the route or a zone of a move was removed, a zone of it is
// drained, or its destination has no proxies.
func (p *planner) isExpired(m Move) bool {
	from, to := p.zones[m.From], p.zones[m.To]
	_, ranked := p.Ranks[m.Route]
	return !ranked || from == nil || to == nil || to.Drained || to.NoProxies || from.Drained
}

// recallGain is the fraction of a zone's capacity left below its target that one plan recalls.
// It damps oscillation between the acceptable level and the maximum.
const recallGain = 0.5

// recallMoves shrinks the moves out of a zone that is below its acceptable level, the most
// urgent route first.
func (p *planner) recallMoves(zone *Zone) {
	used := p.expectedCPU(zone)
	if !zone.isPlannable() || used >= zone.Acceptable {
		return
	}
	free := (zone.Target - used) * recallGain
	outgoing := p.indexesOf(func(m Move) bool { return m.From == zone.Name })
	slices.SortStableFunc(outgoing, func(a, b int) int { return -p.compareRouteRanks(p.moves[a], p.moves[b]) })
	// Demands are computed before any fraction changes, since they depend on the fractions.
	demands := map[ids.Name]float64{}
	for _, i := range outgoing {
		route := p.moves[i].Route
		if _, ok := demands[route]; !ok {
			demands[route] = p.demand(zone, route)
		}
	}
	for _, i := range outgoing {
		m := &p.moves[i]
		demand := demands[m.Route]
		moved := m.Fraction * demand
		if demand <= 0 || moved <= free {
			free -= moved
			m.Fraction = 0
			continue
		}
		m.Fraction -= max(free, 0) / demand
		m.PlannedCPU = m.Fraction * demand
		m.Reason = reasonRecalled
		free = 0
	}
	p.dropSmallMoves()
}

// returnExcess shrinks the moves into a zone that is over its maximum, the least urgent route
// first. It runs before the zone's own connections are moved away.
func (p *planner) returnExcess(zone *Zone) {
	used := p.expectedCPU(zone)
	if zone.Stale || used <= zone.Maximum {
		return
	}
	excess := excessCPU(used, used, zone.Target)
	incoming := p.indexesOf(func(m Move) bool { return m.To == zone.Name })
	slices.SortStableFunc(incoming, func(a, b int) int { return p.compareRouteRanks(p.moves[a], p.moves[b]) })
	for _, i := range incoming {
		m := &p.moves[i]
		if excess <= 0 || m.Fraction <= 0 {
			break
		}
		demand := p.demand(p.zones[m.From], m.Route)
		returned := min(excess, m.Fraction*demand)
		if demand > 0 {
			m.Fraction -= returned / demand
			m.PlannedCPU = m.Fraction * demand
		} else {
			m.Fraction = 0
		}
		m.Reason = reasonReturned
		excess -= returned
		p.PendingOut[zone.Name] += returned
		p.PendingIn[m.From] += returned
	}
}

// indexesOf returns the indexes of the matching moves.
func (p *planner) indexesOf(matches func(Move) bool) []int {
	var indexes []int
	for i, m := range p.moves {
		if matches(m) {
			indexes = append(indexes, i)
		}
	}
	return indexes
}
