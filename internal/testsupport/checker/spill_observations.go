package checker

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"dunlinwell/internal/base/ids"
)

// minimumAnswers is how many answers of a window it takes to compute shares: with fewer, the
// random draw of the directory hides them.
const minimumAnswers = 25

// SpillOrder is what the order of moves is judged by: the configuration as the operators set it.
type SpillOrder struct {
	// Every is how often the spill-over is planned. Observations are gathered
	// in windows of that length; zero judges nothing.
	Every time.Duration
	// Tier ranks the routes: the higher, the more urgent.
	Tier     map[ids.Name]int
	Distance func(a, b ids.Name) float64
	// Acceptable is the usage up to which a zone takes in others' traffic, in
	// milliseconds of CPU a second.
	Acceptable map[ids.Name]float64
}

// DirectoryAnswer is one resolution: a client's zone and route, and the zone it was sent to.
type DirectoryAnswer struct {
	At                           time.Time
	ClientZone, ProxyZone, Route ids.Name
}

// flow is the traffic of a route whose clients are in one zone, its home.
type flow struct{ home, route ids.Name }

// zoneShares gives the share of a flow that was sent to each zone.
type zoneShares map[ids.Name]float64

// elsewhere is the share that was sent to other zones than home; zero if there are no shares.
func (s zoneShares) elsewhere(home ids.Name) float64 {
	if len(s) == 0 {
		return 0
	}
	return 1 - s[home]
}

// windowShares gives the shares of each flow, by number of window.
type windowShares map[int]map[flow]zoneShares

// windows lists the windows in order.
func (s windowShares) windows() []int { return slices.Sorted(maps.Keys(s)) }

// flows lists the flows of a window in order.
func (s windowShares) flows(window int) []flow {
	return slices.SortedFunc(maps.Keys(s[window]), func(a, b flow) int {
		return cmp.Or(cmp.Compare(a.home, b.home), cmp.Compare(a.route, b.route))
	})
}

// sendsAway reports whether a zone sends a tenth of any of its own flows elsewhere.
func (s windowShares) sendsAway(window int, zone ids.Name) bool {
	for f, to := range s[window] {
		if f.home == zone && to.elsewhere(zone) > 0.1 {
			return true
		}
	}
	return false
}

// spillObservations holds what was seen of the spill-over: the directory's answers, and the load
// that the zones really had. Neither is taken from the planner's own table.
type spillObservations struct {
	SpillOrder
	answers []DirectoryAnswer
	// usage and drained are by number of window.
	usage   map[int]map[ids.Name]float64
	drained map[int]map[ids.Name]bool
	// answerCounts is how many answers the shares of a flow are computed from.
	answerCounts map[int]map[flow]int
}

// SetSpillOrder makes the checker judge the order of moves from now on.
func (c *Checker) SetSpillOrder(order SpillOrder) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.spillMoves.SpillOrder, c.spillMoves.usage, c.spillMoves.drained = order, map[int]map[ids.Name]float64{}, map[int]map[ids.Name]bool{}
}

// DirectoryAnswered records an answer of the directory. Routes without a tier, such as those that
// come and go, are left out: they have no place in the order.
func (c *Checker) DirectoryAnswered(answer DirectoryAnswer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ranked := c.spillMoves.Tier[answer.Route]; ranked && c.spillMoves.Every > 0 {
		c.spillMoves.answers = append(c.spillMoves.answers, answer)
	}
}

// ZoneUsage records what a zone used, in milliseconds of CPU a second, and whether it was open to
// new work.
func (c *Checker) ZoneUsage(at time.Time, zone ids.Name, used float64, open bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	observations := &c.spillMoves
	if observations.Every <= 0 {
		return
	}
	window := observations.window(at)
	if observations.usage[window] == nil {
		observations.usage[window], observations.drained[window] = map[ids.Name]float64{}, map[ids.Name]bool{}
	}
	observations.usage[window][zone] = max(observations.usage[window][zone], used)
	observations.drained[window][zone] = observations.drained[window][zone] || !open
}

func (o *spillObservations) window(at time.Time) int { return int(at.UnixNano() / int64(o.Every)) }

// countAnswers counts the answers of each window and flow by the zone that they named.
func (o *spillObservations) countAnswers() map[int]map[flow]map[ids.Name]int {
	counts := map[int]map[flow]map[ids.Name]int{}
	for _, answer := range o.answers {
		window, f := o.window(answer.At), flow{answer.ClientZone, answer.Route}
		if counts[window] == nil {
			counts[window] = map[flow]map[ids.Name]int{}
		}
		if counts[window][f] == nil {
			counts[window][f] = map[ids.Name]int{}
		}
		counts[window][f][answer.ProxyZone]++
	}
	return counts
}

// shares computes the shares of each window and flow. Flows with few answers, and those of
// drained zones, are left out.
func (o *spillObservations) shares() windowShares {
	o.answerCounts = map[int]map[flow]int{}
	shares := windowShares{}
	for window, flows := range o.countAnswers() {
		shares[window], o.answerCounts[window] = map[flow]zoneShares{}, map[flow]int{}
		for f, counts := range flows {
			total := 0
			for _, n := range counts {
				total += n
			}
			if total < minimumAnswers || o.drained[window][f.home] {
				continue
			}
			o.answerCounts[window][f] = total
			shares[window][f] = zoneShares{}
			for zone, n := range counts {
				shares[window][f][zone] = float64(n) / float64(total)
			}
		}
	}
	return shares
}
