package dispatch

import (
	"math"
	"slices"

	"dunlinwell/internal/base/ids"
)

// The maximum distances (Allocation.Distance) within the proxy's own zone and its own region.
const (
	sameZoneDistance   = 0
	sameRegionDistance = 1
)

// The fractions of its latency goal for which a job waits for a slot in the proxy's own zone
// and in its own region, before it may spill over to targets farther away.
const (
	sameZoneWaitShare   = 0.04
	sameRegionWaitShare = 0.15
)

// mayServe reports whether a target is available and in one of a job's regions.
func mayServe(e *endpoint, j *job) bool {
	return e.isAvailable() && (len(j.HomeRegions) == 0 || slices.Contains(j.HomeRegions, e.Region))
}

// maxDistance returns the maximum distance of a job's target, which grows with the time that
// the job has waited: a short wait for a nearby slot costs less than cross-zone latency and
// traffic. There is no wait for a zone or region without a ready target.
func (d *Dispatcher) maxDistance(now ids.Time, j *job) float64 {
	if j.LatencyGoal == 0 {
		return math.Inf(1)
	}
	sameZone, sameRegion := false, false
	for _, e := range d.sortedEndpoints {
		if mayServe(e, j) && now >= e.SlowStartUntil && e.isReady(now, d.meanResponseTime) && d.slotShare(now, e.Allocation) > 0 {
			sameZone = sameZone || e.Distance == sameZoneDistance
			sameRegion = sameRegion || e.Distance <= sameRegionDistance
		}
	}
	waited := float64(now.Sub(j.queuedAt)) / float64(j.LatencyGoal)
	switch {
	case sameZone && waited < sameZoneWaitShare:
		return sameZoneDistance
	case sameRegion && waited < sameRegionWaitShare:
		return sameRegionDistance
	}
	return math.Inf(1)
}

// pickEndpoint chooses among the nearest targets with a free slot, or returns nil if there are
// none: the least occupied target for a job with a latency goal, otherwise the less occupied
// of two random ones.
func (d *Dispatcher) pickEndpoint(now ids.Time, j *job) *endpoint {
	candidates := d.nearestCandidates(now, j)
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

// nearestCandidates returns the nearest targets with a free slot for a job, only ready ones if
// there are any. All have the same distance. The result is valid until the next call.
func (d *Dispatcher) nearestCandidates(now ids.Time, j *job) []*endpoint {
	candidates, candidatesReady := d.candidates[:0], false
	// Once all targets have been tried, they may be tried again.
	skipTried := len(j.triedTargets) == 0 || slices.ContainsFunc(d.sortedEndpoints, func(e *endpoint) bool {
		return mayServe(e, j) && !j.triedTargets[e.Instance]
	})
	maxDistance := d.maxDistance(now, j)
	for _, e := range d.sortedEndpoints {
		if (skipTried && j.triedTargets[e.Instance]) || !mayServe(e, j) || e.Distance > maxDistance {
			continue
		}
		// slowStartAllows is called last, as it refills the token bucket.
		if e.inFlight >= d.slotShare(now, e.Allocation) || !e.slowStartAllows(now) {
			continue
		}
		ready := e.isReady(now, d.meanResponseTime)
		switch {
		case len(candidates) == 0 || (ready && !candidatesReady) || (ready == candidatesReady && e.Distance < candidates[0].Distance):
			candidates, candidatesReady = append(candidates[:0], e), ready
		case ready == candidatesReady && e.Distance == candidates[0].Distance:
			candidates = append(candidates, e)
		}
	}
	d.candidates = candidates
	return candidates
}

// leastOccupied returns the least occupied candidate, with ties broken randomly.
func (d *Dispatcher) leastOccupied(now ids.Time, candidates []*endpoint) *endpoint {
	var best *endpoint
	lowest, ties := 0.0, 0
	for _, e := range candidates {
		switch occupancy := d.occupancy(now, e); {
		case best == nil || occupancy < lowest:
			best, lowest, ties = e, occupancy, 1
		case occupancy == lowest:
			// Reservoir sampling: each of n ties is chosen with probability 1/n.
			if ties++; d.Random.IntN(ties) == 0 {
				best = e
			}
		}
	}
	return best
}

// occupancy returns how full a target is, where 1 is full: the maximum of this proxy's use of
// its slot share, the occupancy in the target's heartbeat, and the load reported with its
// responses.
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
