package dispatch

import (
	"math"
	"slices"
	"time"

	"dunlinwell/internal/base/ids"
)

// spot is a target as this dispatcher uses it.
type spot struct {
	Offer
	busy int
	rest ids.Time
	out  bool
	// turn is when a request last came back from it, or the first of those now
	// there went: silence is counted from then.
	turn ids.Time
	// tokens and filled are the bucket that bounds it while it is cold.
	tokens float64
	filled ids.Time
	// full is how full the target last said it is, beyond its slots, and when.
	load   float64
	loadAt ids.Time
	outlier
}

// take notes a request that goes there.
func (s *spot) take(now ids.Time) {
	if s.busy == 0 {
		s.turn = now
	}
	s.busy++
	if now < s.ColdUntil {
		s.tokens--
	}
}

const (
	// restFor is how long a target that had a problem is left alone while there
	// is another; one that was merely full is soon good again.
	restFor     = time.Second
	restFull    = 100 * time.Millisecond
	restForeign = 10 * time.Second
	// loadFor is how long a target's word on its load is gone by.
	loadFor = time.Second
)

// came notes how a request came back.
func (s *spot) came(now ids.Time, e AttemptFinished) {
	switch e.Result {
	case NotSent, MayHaveRun:
		s.rest = max(s.rest, now.Add(restFor))
	case NotExecuted:
		s.rest = now.Add(restFull)
	case WrongTarget:
		s.rest = now.Add(restForeign)
	}
	if e.Result != NotExecuted && e.Result != WrongTarget {
		bad := e.Result != Complete || e.Response.Status >= 500
		s.rest = max(s.rest, s.outlier.seen(now, bad))
	}
	if e.Told && e.Slots > 0 {
		s.load, s.loadAt = float64(e.Running+e.Waiting)/float64(e.Slots), now
	}
}

// silent tells whether a target has held requests for long without a word. It
// may just be slow, so it is only left alone while there is another.
func (s *spot) silent(now ids.Time, mean time.Duration) bool {
	return s.busy > 0 && now.Sub(s.turn) > max(4*mean, 400*time.Millisecond)
}

// warm tells whether a target may get one more by its rate, if it is cold.
func (s *spot) warm(now ids.Time) bool {
	if now >= s.ColdUntil {
		return true
	}
	if s.Rate <= 0 {
		return false
	}
	if s.filled == 0 {
		s.tokens = 1
	} else {
		s.tokens = min(s.tokens+now.Sub(s.filled).Seconds()*s.Rate, 1)
	}
	s.filled = now
	return s.tokens >= 1
}

// share is how many requests this proxy may have at a target at once. The
// seats' shares add up to the whole exactly, so the fleet's sum can't pass it.
func (d *Dispatcher) share(now ids.Time, o Offer) int {
	capacity := float64(o.Capacity)
	if capacity == 0 {
		capacity = float64(d.stock.Capacity)
	}
	warm := o.Warmth
	if d.stock.Warm > 0 {
		// Back from a restart it starts cold and ramps, whatever it says.
		age := time.Duration(o.AgeMillis)*time.Millisecond + now.Sub(o.At)
		warm = min(warm, max(coldest, float64(age)/float64(d.stock.Warm)))
	}
	bears := int(math.Max(1, capacity*warm)) * max(o.Over, 1)
	n := max(o.Seats, 1)
	return bears*(o.Seat+1)/n - bears*o.Seat/n
}

// fit tells whether new work may go to a target at all.
func (d *Dispatcher) fit(s *spot) bool {
	return !s.out && s.Usable() && !s.Emptied
}

// places counts what the fit targets could bear from this proxy.
func (d *Dispatcher) places(now ids.Time) int {
	n := 0
	for _, s := range d.list {
		if d.fit(s) && (now >= s.ColdUntil || s.Rate > 0) {
			n += d.share(now, s.Offer)
		}
	}
	return n
}

// home tells whether a job may be served where a target stands.
func (j *job) home(s *spot) bool {
	return len(j.Homes) == 0 || slices.Contains(j.Homes, s.Region)
}

// far are the shares of its goal that a job waits for a place nearby before it
// takes one in the same region, and one in another.
const (
	nearWait = 0.04
	farWait  = 0.15
)

// reach is how far a job may go by now. The way to another zone costs time and
// bytes that a short wait for a place of its own doesn't; where there is no
// nearer place at all there is nothing to wait for.
func (d *Dispatcher) reach(now ids.Time, j *job) float64 {
	if j.Goal == 0 {
		return math.Inf(1)
	}
	own, near := false, false
	for _, s := range d.list {
		if d.fit(s) && j.home(s) && now >= s.ColdUntil && now >= s.rest && !s.silent(now, d.mean) && d.share(now, s.Offer) > 0 {
			own = own || s.Distance == 0
			near = near || s.Distance <= 1
		}
	}
	waited := float64(now.Sub(j.since)) / float64(j.Goal)
	switch {
	case own && waited < nearWait:
		return 0
	case near && waited < farWait:
		return 1
	}
	return math.Inf(1)
}

// pick chooses a target with a free place: the nearest zone that has one, and
// there the less occupied of two drawn at random.
func (d *Dispatcher) pick(now ids.Time, j *job) *spot {
	best, rested := d.best[:0], false
	fresh := len(j.avoid) == 0 || slices.ContainsFunc(d.list, func(s *spot) bool { return d.fit(s) && j.home(s) && !j.avoid[s.Instance] })
	reach := d.reach(now, j)
	for _, s := range d.list {
		// Where all were tried, the same one may be tried again.
		if (fresh && j.avoid[s.Instance]) || !d.fit(s) || s.Distance > reach || s.busy >= d.share(now, s.Offer) || !j.home(s) || !s.warm(now) {
			continue
		}
		// One that just had a problem rests while there is another.
		r := now >= s.rest && !s.silent(now, d.mean)
		switch {
		case len(best) == 0 || (r && !rested) || (r == rested && s.Distance < best[0].Distance):
			best, rested = append(best[:0], s), r
		case r == rested && s.Distance == best[0].Distance:
			best = append(best, s)
		}
	}
	d.best = best
	if len(best) == 0 {
		return nil
	}
	if j.Goal > 0 {
		return d.least(now, best)
	}
	a, b := best[d.Random.IntN(len(best))], best[d.Random.IntN(len(best))]
	if d.occupancy(now, b) < d.occupancy(now, a) {
		return b
	}
	return a
}

// least gives the least occupied of a zone's few targets; of equals, any.
func (d *Dispatcher) least(now ids.Time, list []*spot) *spot {
	var out *spot
	low, same := 0.0, 0
	for _, s := range list {
		switch o := d.occupancy(now, s); {
		case out == nil || o < low:
			out, low, same = s, o, 1
		case o == low:
			if same++; d.Random.IntN(same) == 0 {
				out = s
			}
		}
	}
	return out
}

// occupancy is the fuller of what this proxy has there and what the target
// says of itself.
func (d *Dispatcher) occupancy(now ids.Time, s *spot) float64 {
	own := float64(s.busy) / float64(max(d.share(now, s.Offer), 1))
	if s.Capacity > 0 {
		own = max(own, float64(s.Occupancy)/float64(s.Capacity))
	}
	if s.loadAt != 0 && now.Sub(s.loadAt) < loadFor {
		own = max(own, s.load)
	}
	return own
}
