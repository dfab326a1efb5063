package checker

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"dunlinwell/internal/base/ids"
)

// minimumAnswers is the least number of answers in a window from which shares are computed. With
// fewer, the directory's weighted random selection dominates.
const minimumAnswers = 25

// SpillOrder holds the configuration that determines in which order spill-over may move traffic.
type SpillOrder struct {
	// PlanInterval is the planning interval of the spill-over, and the length of the windows that
	// observations are grouped by. Zero disables the rules on spill-over.
	PlanInterval time.Duration
	// Tier is the priority of each route; higher is more urgent.
	Tier     map[ids.Name]int
	Distance func(a, b ids.Name) float64
	// Acceptable is the usage up to which a zone accepts other zones' traffic, in milliseconds of
	// CPU per second.
	Acceptable map[ids.Name]float64
}

// DirectoryAnswer is one resolution by the directory: the zone of the proxy that a client in
// ClientZone got for a route.
type DirectoryAnswer struct {
	At                           time.Time
	ClientZone, ProxyZone, Route ids.Name
}

// flow is the traffic of a route whose clients are in one zone, its home.
type flow struct{ home, route ids.Name }

// zoneShares maps each zone to the share of a flow that was sent there.
type zoneShares map[ids.Name]float64

// elsewhere returns the share that was sent to zones other than home; zero if there are no shares.
func (s zoneShares) elsewhere(home ids.Name) float64 {
	if len(s) == 0 {
		return 0
	}
	return 1 - s[home]
}

// windowShares holds the shares of each flow, by window number.
type windowShares map[int]map[flow]zoneShares

// windows returns the window numbers in ascending order.
func (s windowShares) windows() []int { return slices.Sorted(maps.Keys(s)) }

// flows returns the flows of a window, sorted by home and route.
func (s windowShares) flows(window int) []flow {
	return slices.SortedFunc(maps.Keys(s[window]), func(a, b flow) int {
		return cmp.Or(cmp.Compare(a.home, b.home), cmp.Compare(a.route, b.route))
	})
}

// sendsAway reports whether a zone sends more than a tenth of any of its own flows elsewhere.
func (s windowShares) sendsAway(window int, zone ids.Name) bool {
	for f, to := range s[window] {
		if f.home == zone && to.elsewhere(zone) > 0.1 {
			return true
		}
	}
	return false
}

// spillObservations holds the directory's answers and the measured load of the zones. Neither is
// taken from the planner's table, which is under test.
type spillObservations struct {
	SpillOrder
	answers []DirectoryAnswer
	// usage holds the peak CPU usage of each zone, by window number.
	usage map[int]map[ids.Name]float64
	// drained holds the zones that were drained during a window, by window number.
	drained map[int]map[ids.Name]bool
	// answerCounts holds the number of answers that the shares of each flow are computed from.
	answerCounts map[int]map[flow]int
}

// SetSpillOrder enables the rules on spill-over, and discards earlier observations of usage.
func (c *Checker) SetSpillOrder(order SpillOrder) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.spill.SpillOrder, c.spill.usage, c.spill.drained = order, map[int]map[ids.Name]float64{}, map[int]map[ids.Name]bool{}
}

// DirectoryAnswered records an answer of the directory. Routes without a tier are ignored, as no
// order is defined for them.
func (c *Checker) DirectoryAnswered(answer DirectoryAnswer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ranked := c.spill.Tier[answer.Route]; ranked && c.spill.PlanInterval > 0 {
		c.spill.answers = append(c.spill.answers, answer)
	}
}

// ZoneUsage records a zone's usage, in milliseconds of CPU per second, and whether the zone accepts
// new requests.
func (c *Checker) ZoneUsage(at time.Time, zone ids.Name, used float64, open bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	observations := &c.spill
	if observations.PlanInterval <= 0 {
		return
	}
	window := observations.window(at)
	if observations.usage[window] == nil {
		observations.usage[window], observations.drained[window] = map[ids.Name]float64{}, map[ids.Name]bool{}
	}
	observations.usage[window][zone] = max(observations.usage[window][zone], used)
	observations.drained[window][zone] = observations.drained[window][zone] || !open
}

// window returns the number of the window that contains a time.
func (o *spillObservations) window(at time.Time) int {
	return int(at.UnixNano() / int64(o.PlanInterval))
}

// countAnswers counts the answers by window, flow and zone of the proxy.
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

// shares computes the shares of each flow in each window. It omits flows with fewer than
// minimumAnswers answers and flows whose home is drained.
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
