package dispatch

import (
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
