package dispatch

import (
	"math"
	"slices"

	"dunlinwell/internal/base/ids"
)

// allowsRegion tells whether a job may be served where a target stands.
func (j *job) allowsRegion(e *endpoint) bool {
	return len(j.Homes) == 0 || slices.Contains(j.Homes, e.Region)
}

// far are the shares of its goal that a job waits for a place nearby before it
// takes one in the same region, and one in another.
const (
	sameZoneWaitShare   = 0.04
	sameRegionWaitShare = 0.15
)

// maxDistance is how far a job may go by now. The way to another zone costs time and
// bytes that a short wait for a place of its own doesn't; where there is no
// nearer place at all there is nothing to wait for.
func (d *Dispatcher) maxDistance(now ids.Time, j *job) float64 {
	if j.LatencyGoal == 0 {
		return math.Inf(1)
	}
	sameZone, sameRegion := false, false
	for _, e := range d.sortedEndpoints {
		if d.isAvailable(e) && j.allowsRegion(e) && now >= e.SlowStartUntil && now >= e.cooldownUntil && !e.isUnresponsive(now, d.meanResponseTime) && d.slotShare(now, e.Allocation) > 0 {
			sameZone = sameZone || e.Distance == 0
			sameRegion = sameRegion || e.Distance <= 1
		}
	}
	waited := float64(now.Sub(j.queuedAt)) / float64(j.LatencyGoal)
	switch {
	case sameZone && waited < sameZoneWaitShare:
		return 0
	case sameRegion && waited < sameRegionWaitShare:
		return 1
	}
	return math.Inf(1)
}

// pickEndpoint chooses a target with a free place: the nearest zone that has one, and
// there the less occupied of two drawn at random.
func (d *Dispatcher) pickEndpoint(now ids.Time, j *job) *endpoint {
	candidates, candidatesReady := d.candidates[:0], false
	untriedLeft := len(j.triedTargets) == 0 || slices.ContainsFunc(d.sortedEndpoints, func(e *endpoint) bool { return d.isAvailable(e) && j.allowsRegion(e) && !j.triedTargets[e.Instance] })
	maxDistance := d.maxDistance(now, j)
	for _, e := range d.sortedEndpoints {
		// Where all were tried, the same one may be tried again.
		if (untriedLeft && j.triedTargets[e.Instance]) || !d.isAvailable(e) || e.Distance > maxDistance || e.inFlight >= d.slotShare(now, e.Allocation) || !j.allowsRegion(e) || !e.slowStartAllows(now) {
			continue
		}
		// One that just had a problem rests while there is another.
		ready := now >= e.cooldownUntil && !e.isUnresponsive(now, d.meanResponseTime)
		switch {
		case len(candidates) == 0 || (ready && !candidatesReady) || (ready == candidatesReady && e.Distance < candidates[0].Distance):
			candidates, candidatesReady = append(candidates[:0], e), ready
		case ready == candidatesReady && e.Distance == candidates[0].Distance:
			candidates = append(candidates, e)
		}
	}
	d.candidates = candidates
	if len(candidates) == 0 {
		return nil
	}
	if j.LatencyGoal > 0 {
		return d.leastOccupied(now, candidates)
	}
	a, b := candidates[d.Random.IntN(len(candidates))], candidates[d.Random.IntN(len(candidates))]
	if d.occupancy(now, b) < d.occupancy(now, a) {
		return b
	}
	return a
}

// leastOccupied gives the least occupied of a zone's few targets; of equals, any.
func (d *Dispatcher) leastOccupied(now ids.Time, candidates []*endpoint) *endpoint {
	var best *endpoint
	lowest, ties := 0.0, 0
	for _, e := range candidates {
		switch occupancy := d.occupancy(now, e); {
		case best == nil || occupancy < lowest:
			best, lowest, ties = e, occupancy, 1
		case occupancy == lowest:
			if ties++; d.Random.IntN(ties) == 0 {
				best = e
			}
		}
	}
	return best
}

// occupancy is the fuller of what this proxy has there and what the target
// says of itself.
func (d *Dispatcher) occupancy(now ids.Time, e *endpoint) float64 {
	occupancy := float64(e.inFlight) / float64(max(d.slotShare(now, e.Allocation), 1))
	if e.Capacity > 0 {
		occupancy = max(occupancy, float64(e.Occupancy)/float64(e.Capacity))
	}
	if e.loadReportedAt != 0 && now.Sub(e.loadReportedAt) < loadReportLifetime {
		occupancy = max(occupancy, e.reportedLoad)
	}
	return occupancy
}
