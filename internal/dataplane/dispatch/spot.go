package dispatch

import (
	"math"
	"slices"
	"time"

	"dunlinwell/internal/base/ids"
)

// endpoint is a target as this dispatcher uses it.
type endpoint struct {
	Allocation
	inFlight      int
	cooldownUntil ids.Time
	removed       bool
	// lastResponseAt is when a request last came back from it, or the first of those now
	// there went: silence is counted from then.
	lastResponseAt ids.Time
	// slowStartTokens and filled are the bucket that bounds it while it is cold.
	slowStartTokens  float64
	tokensRefilledAt ids.Time
	// full is how full the target last said it is, beyond its slots, and when.
	reportedLoad   float64
	loadReportedAt ids.Time
	outlierDetector
}

// startRequest notes a request that goes there.
func (e *endpoint) startRequest(now ids.Time) {
	if e.inFlight == 0 {
		e.lastResponseAt = now
	}
	e.inFlight++
	if now < e.SlowStartUntil {
		e.slowStartTokens--
	}
}

const (
	// failureCooldown is how long a target that had a problem is left alone while there
	// is another; one that was merely full is soon good again.
	failureCooldown     = time.Second
	overloadCooldown    = 100 * time.Millisecond
	wrongTargetCooldown = 10 * time.Second
	// loadReportLifetime is how long a target's word on its load is gone by.
	loadReportLifetime = time.Second
)

// recordResult notes how a request came back.
func (e *endpoint) recordResult(now ids.Time, result AttemptFinished) {
	switch result.Result {
	case NotSent, MayHaveRun:
		e.cooldownUntil = max(e.cooldownUntil, now.Add(failureCooldown))
	case NotExecuted:
		e.cooldownUntil = now.Add(overloadCooldown)
	case WrongTarget:
		e.cooldownUntil = now.Add(wrongTargetCooldown)
	}
	if result.Result != NotExecuted && result.Result != WrongTarget {
		failed := result.Result != Complete || result.Response.Status >= 500
		e.cooldownUntil = max(e.cooldownUntil, e.outlierDetector.record(now, failed))
	}
	if result.LoadReported && result.Slots > 0 {
		e.reportedLoad, e.loadReportedAt = float64(result.Running+result.Waiting)/float64(result.Slots), now
	}
}

// isUnresponsive tells whether a target has held requests for long without a word. It
// may just be slow, so it is only left alone while there is another.
func (e *endpoint) isUnresponsive(now ids.Time, mean time.Duration) bool {
	return e.inFlight > 0 && now.Sub(e.lastResponseAt) > max(4*mean, 400*time.Millisecond)
}

// slowStartAllows tells whether a target may get one more by its rate, if it is cold.
func (e *endpoint) slowStartAllows(now ids.Time) bool {
	if now >= e.SlowStartUntil {
		return true
	}
	if e.SlowStartRate <= 0 {
		return false
	}
	if e.tokensRefilledAt == 0 {
		e.slowStartTokens = 1
	} else {
		e.slowStartTokens = min(e.slowStartTokens+now.Sub(e.tokensRefilledAt).Seconds()*e.SlowStartRate, 1)
	}
	e.tokensRefilledAt = now
	return e.slowStartTokens >= 1
}

// slotShare is how many requests this proxy may have at a target at once. The
// seats' shares add up to the whole exactly, so the fleet's sum can't pass it.
func (d *Dispatcher) slotShare(now ids.Time, allocation Allocation) int {
	capacity := float64(allocation.Capacity)
	if capacity == 0 {
		capacity = float64(d.service.DefaultCapacity)
	}
	warmth := allocation.Warmth
	if d.service.SlowStartDuration > 0 {
		// Back from a restart it starts cold and ramps, whatever it says.
		age := time.Duration(allocation.AgeMillis)*time.Millisecond + now.Sub(allocation.AgeMeasuredAt)
		warmth = min(warmth, max(minWarmth, float64(age)/float64(d.service.SlowStartDuration)))
	}
	slots := int(math.Max(1, capacity*warmth)) * max(allocation.Oversubscription, 1)
	shares := max(allocation.SlotShareCount, 1)
	return slots*(allocation.SlotShareIndex+1)/shares - slots*allocation.SlotShareIndex/shares
}

// isAvailable tells whether new work may go to a target at all.
func (d *Dispatcher) isAvailable(e *endpoint) bool {
	return !e.removed && e.Usable() && !e.ZoneDrained
}

// totalSlots counts what the fit targets could bear from this proxy.
func (d *Dispatcher) totalSlots(now ids.Time) int {
	total := 0
	for _, e := range d.sortedEndpoints {
		if d.isAvailable(e) && (now >= e.SlowStartUntil || e.SlowStartRate > 0) {
			total += d.slotShare(now, e.Allocation)
		}
	}
	return total
}

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
