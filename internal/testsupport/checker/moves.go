package checker

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"dunlinwell/internal/base/ids"
)

// SpillOrder is what the order of moves is judged by: the configuration as the operators
// set it, and how often the spill is planned.
type SpillOrder struct {
	Every      time.Duration
	Tier       map[ids.Name]int
	Distance   func(a, b ids.Name) float64
	Acceptable map[ids.Name]float64
}

// DirectoryAnswer is one fresh ask and where the directory sent it.
type DirectoryAnswer struct {
	At                           time.Time
	ClientZone, ProxyZone, Route ids.Name
}

// moves is what was seen of the spill: the directory's answers, and the load
// that the zones really had. Neither is the planner's own word.
type moves struct {
	SpillOrder
	answers []DirectoryAnswer
	used    map[int]map[ids.Name]float64
	drained map[int]map[ids.Name]bool
	count   map[int]map[flow]int
}

// SetSpillOrder begins to judge the order of moves.
func (t *Checker) SetSpillOrder(o SpillOrder) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.moves.SpillOrder, t.moves.used, t.moves.drained = o, map[int]map[ids.Name]float64{}, map[int]map[ids.Name]bool{}
}

// DirectoryAnswered notes an answer of the directory.
func (t *Checker) DirectoryAnswered(a DirectoryAnswer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	// What has no rank here, as a route that comes and goes, has no order.
	if _, ranked := t.moves.Tier[a.Route]; ranked && t.moves.Every > 0 {
		t.moves.answers = append(t.moves.answers, a)
	}
}

// ZoneUsage notes what a zone used over a window, and whether it was open to work.
func (t *Checker) ZoneUsage(at time.Time, zone ids.Name, used float64, open bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := &t.moves
	if m.Every <= 0 {
		return
	}
	k := m.window(at)
	if m.used[k] == nil {
		m.used[k], m.drained[k] = map[ids.Name]float64{}, map[ids.Name]bool{}
	}
	m.used[k][zone] = max(m.used[k][zone], used)
	m.drained[k][zone] = m.drained[k][zone] || !open
}

func (m *moves) window(at time.Time) int { return int(at.UnixNano() / int64(m.Every)) }

// flow is a route's fresh asks of one zone in one window.
type flow struct{ home, route ids.Name }

// minimumAnswers is how many asks of a window carry a share.
const minimumAnswers = 25

// shares gives, by window and flow, the share that went to each zone.
func (m *moves) shares() map[int]map[flow]map[ids.Name]float64 {
	m.count = map[int]map[flow]int{}
	count := map[int]map[flow]map[ids.Name]int{}
	for _, a := range m.answers {
		k, f := m.window(a.At), flow{a.ClientZone, a.Route}
		if count[k] == nil {
			count[k] = map[flow]map[ids.Name]int{}
		}
		if count[k][f] == nil {
			count[k][f] = map[ids.Name]int{}
		}
		count[k][f][a.ProxyZone]++
	}
	out := map[int]map[flow]map[ids.Name]float64{}
	for k, flows := range count {
		out[k], m.count[k] = map[flow]map[ids.Name]float64{}, map[flow]int{}
		for f, to := range flows {
			n := 0
			for _, c := range to {
				n += c
			}
			if n < minimumAnswers || m.drained[k][f.home] {
				continue
			}
			m.count[k][f] = n
			out[k][f] = map[ids.Name]float64{}
			for zone, c := range to {
				out[k][f][zone] = float64(c) / float64(n)
			}
		}
	}
	return out
}

func shareElsewhere(to map[ids.Name]float64, home ids.Name) float64 {
	if len(to) == 0 {
		return 0
	}
	return 1 - to[home]
}

func flows(m map[flow]map[ids.Name]float64) []flow {
	return slices.SortedFunc(maps.Keys(m), func(a, b flow) int {
		return cmp.Or(cmp.Compare(a.home, b.home), cmp.Compare(a.route, b.route))
	})
}

// tiers finds zones that sent an urgent route away while a lesser one stayed.
// Two windows in a row, as a plan may fall into the midst of one.
func (t *Checker) tiers() RuleResult {
	c := RuleResult{Rule: "urgent route moved while a lesser one stayed"}
	m := &t.moves
	shares := m.shares()
	for _, k := range slices.Sorted(maps.Keys(shares)) {
		for _, hi := range flows(shares[k]) {
			for _, lo := range flows(shares[k]) {
				if hi.home != lo.home || m.Tier[hi.route] <= m.Tier[lo.route] {
					continue
				}
				c.Judged++
				bad := true
				for _, w := range []int{k, k + 1} {
					a, b := shares[w][hi], shares[w][lo]
					bad = bad && a != nil && b != nil && shareElsewhere(a, hi.home) > 0.2 && shareElsewhere(b, lo.home) < 0.6
				}
				if bad {
					c.add(fmt.Sprintf("%s sent %.2f of %s away and only %.2f of %s, in window %d", hi.home, shareElsewhere(shares[k][hi], hi.home), hi.route, shareElsewhere(shares[k][lo], lo.home), lo.route, k))
				}
			}
		}
	}
	return c
}

// grew gives how much more of a flow went to a zone than a window before;
// nothing, if the draw alone explains it.
func (m *moves) grew(shares map[int]map[flow]map[ids.Name]float64, k int, f flow, to ids.Name) float64 {
	a, b := shares[k-1][f], shares[k][f]
	if a == nil || b == nil {
		return 0
	}
	p := (a[to] + b[to]) / 2
	chance := math.Sqrt(p * (1 - p) * (1/float64(m.count[k-1][f]) + 1/float64(m.count[k][f])))
	if more := b[to] - a[to]; more > 0.1 && more > 4*chance {
		return more
	}
	return 0
}

// eachNewMove goes through the moves that began, window by window.
func (m *moves) eachNewMove(shares map[int]map[flow]map[ids.Name]float64, do func(k int, f flow, to ids.Name)) {
	for _, k := range slices.Sorted(maps.Keys(shares)) {
		for _, f := range flows(shares[k]) {
			for _, to := range slices.Sorted(maps.Keys(shares[k][f])) {
				if to != f.home && m.grew(shares, k, f, to) > 0 {
					do(k, f, to)
				}
			}
		}
	}
}

// nearest finds moves that began to a zone while a nearer one had room, before
// and after, and took nothing.
func (t *Checker) nearest() RuleResult {
	c := RuleResult{Rule: "move to a far cell while a nearer one had room"}
	m := &t.moves
	shares := m.shares()
	m.eachNewMove(shares, func(k int, f flow, to ids.Name) {
		c.Judged++
		for _, near := range slices.Sorted(maps.Keys(m.Acceptable)) {
			if near != f.home && m.Distance(f.home, near) < m.Distance(f.home, to) && m.hasCapacity(shares, k, near) {
				c.add(fmt.Sprintf("%s began to send %s to %s in window %d, though %s used %.0f of %.0f", f.home, f.route, to, k, near, m.used[k][near], m.Acceptable[near]))
			}
		}
	})
	return c
}

// hasCapacity tells whether a zone stood open with much room and nothing of its own
// away, from before a window until after it.
func (m *moves) hasCapacity(shares map[int]map[flow]map[ids.Name]float64, k int, zone ids.Name) bool {
	for w := k - 2; w <= k+1; w++ {
		if m.drained[w] == nil || m.drained[w][zone] || m.used[w][zone] > 0.6*m.Acceptable[zone] || m.spills(shares, w, zone) {
			return false
		}
	}
	return true
}

// spills tells whether a zone sends anything much of its own away.
func (m *moves) spills(shares map[int]map[flow]map[ids.Name]float64, k int, zone ids.Name) bool {
	for f, to := range shares[k] {
		if f.home == zone && shareElsewhere(to, zone) > 0.1 {
			return true
		}
	}
	return false
}

// homeFirst finds zones that took in more of others' traffic while their own
// was still away.
func (t *Checker) homeFirst() RuleResult {
	c := RuleResult{Rule: "took others' traffic before calling its own home"}
	m := &t.moves
	shares := m.shares()
	m.eachNewMove(shares, func(k int, f flow, to ids.Name) {
		c.Judged++
		if m.spills(shares, k-1, to) && m.spills(shares, k, to) && m.spills(shares, k+1, to) {
			c.add(fmt.Sprintf("%s took %.2f more of %s from %s in window %d, its own still away", to, m.grew(shares, k, f, to), f.route, f.home, k))
		}
	})
	return c
}
