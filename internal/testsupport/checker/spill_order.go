package checker

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"dunlinwell/internal/base/ids"
)

// tierOrderViolations finds zones that sent an urgent route elsewhere while a less urgent one
// stayed. The order must be wrong in two consecutive windows, as the plan may change within one.
func (c *Checker) tierOrderViolations() RuleResult {
	result := RuleResult{Rule: "urgent route moved while a less urgent one stayed"}
	observations := &c.spill
	shares := observations.shares()
	for _, window := range shares.windows() {
		for _, urgent := range shares.flows(window) {
			for _, lesser := range shares.flows(window) {
				if urgent.home != lesser.home || observations.Tier[urgent.route] <= observations.Tier[lesser.route] {
					continue
				}
				result.Judged++
				if shares.outOfTierOrder(window, urgent, lesser) && shares.outOfTierOrder(window+1, urgent, lesser) {
					result.add(fmt.Sprintf("%s sent %.2f of %s away and only %.2f of %s, in window %d", urgent.home, shares[window][urgent].elsewhere(urgent.home), urgent.route, shares[window][lesser].elsewhere(lesser.home), lesser.route, window))
				}
			}
		}
	}
	return result
}

// outOfTierOrder reports whether over a fifth of the urgent flow was sent elsewhere, but under three
// fifths of the less urgent one. The margins allow for the directory's random selection.
func (s windowShares) outOfTierOrder(window int, urgent, lesser flow) bool {
	high, low := s[window][urgent], s[window][lesser]
	return high != nil && low != nil && high.elsewhere(urgent.home) > 0.2 && low.elsewhere(lesser.home) < 0.6
}

// growth returns how much a zone's share of a flow grew since the previous window; zero if it grew
// by no more than a tenth or than four standard deviations of the random selection.
func (o *spillObservations) growth(shares windowShares, window int, f flow, to ids.Name) float64 {
	before, after := shares[window-1][f], shares[window][f]
	if before == nil || after == nil {
		return 0
	}
	mean := (before[to] + after[to]) / 2
	deviation := math.Sqrt(mean * (1 - mean) * (1/float64(o.answerCounts[window-1][f]) + 1/float64(o.answerCounts[window][f])))
	if more := after[to] - before[to]; more > 0.1 && more > 4*deviation {
		return more
	}
	return 0
}

// eachNewMove calls visit for every move that began or grew, in the order of the windows.
func (o *spillObservations) eachNewMove(shares windowShares, visit func(window int, f flow, to ids.Name)) {
	for _, window := range shares.windows() {
		for _, f := range shares.flows(window) {
			for _, to := range slices.Sorted(maps.Keys(shares[window][f])) {
				if to != f.home && o.growth(shares, window, f, to) > 0 {
					visit(window, f, to)
				}
			}
		}
	}
}

// distanceOrderViolations finds moves that began or grew while a nearer zone had capacity left.
func (c *Checker) distanceOrderViolations() RuleResult {
	result := RuleResult{Rule: "move to a far zone while a nearer one had capacity"}
	observations := &c.spill
	shares := observations.shares()
	observations.eachNewMove(shares, func(window int, f flow, to ids.Name) {
		result.Judged++
		for _, near := range slices.Sorted(maps.Keys(observations.Acceptable)) {
			if near != f.home && observations.Distance(f.home, near) < observations.Distance(f.home, to) && observations.hasCapacity(shares, window, near) {
				result.add(fmt.Sprintf("%s began to send %s to %s in window %d, though %s used %.0f of %.0f", f.home, f.route, to, window, near, observations.usage[window][near], observations.Acceptable[near]))
			}
		}
	})
	return result
}

// hasCapacity reports whether, from two windows before the given one until one after it, a zone was
// not drained, used at most 60 % of its acceptable usage and kept its own traffic.
func (o *spillObservations) hasCapacity(shares windowShares, window int, zone ids.Name) bool {
	for w := window - 2; w <= window+1; w++ {
		if o.drained[w] == nil || o.drained[w][zone] || o.usage[w][zone] > 0.6*o.Acceptable[zone] || shares.sendsAway(w, zone) {
			return false
		}
	}
	return true
}

// foreignTrafficBeforeOwn finds zones that accepted more traffic of other zones while their own was
// still sent elsewhere.
func (c *Checker) foreignTrafficBeforeOwn() RuleResult {
	result := RuleResult{Rule: "took in others' traffic while its own was still moved"}
	observations := &c.spill
	shares := observations.shares()
	observations.eachNewMove(shares, func(window int, f flow, to ids.Name) {
		result.Judged++
		if shares.sendsAway(window-1, to) && shares.sendsAway(window, to) && shares.sendsAway(window+1, to) {
			result.add(fmt.Sprintf("%s took in %.2f more of %s from %s in window %d while its own was still moved", to, observations.growth(shares, window, f, to), f.route, f.home, window))
		}
	})
	return result
}
