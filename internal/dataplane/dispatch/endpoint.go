package dispatch

import (
	"time"

	"dunlinwell/internal/base/ids"
)

// endpoint is the load-balancing state of one target: requests in flight, cooldown, slow
// start, reported load and outlier ejection.
type endpoint struct {
	Allocation
	// inFlight is the number of slots in use by this proxy.
	inFlight int
	// cooldownUntil is the end of a cooldown or an ejection; other targets are preferred
	// until then.
	cooldownUntil ids.Time
	// removed is set while the target is missing from the service state.
	removed bool
	// lastResponseAt is when an attempt last ended without being canceled. A request that
	// starts with no others in flight sets it to the start time minus unresponsiveFor.
	lastResponseAt ids.Time
	// unresponsiveFor is how long the target hadn't responded when the last request was canceled;
	// 0 after a response.
	unresponsiveFor time.Duration
	// slowStartTokens is the level of a token bucket with a capacity of one request, which
	// limits the request rate until SlowStartUntil.
	slowStartTokens  float64
	tokensRefilledAt ids.Time
	// reportedLoad is the load that the target last reported: running and waiting requests
	// divided by slots.
	reportedLoad   float64
	loadReportedAt ids.Time
	outlierDetector
}

// startRequest takes a slot for a request.
func (e *endpoint) startRequest(now ids.Time) {
	if e.inFlight == 0 {
		e.lastResponseAt = now.Add(-e.unresponsiveFor)
	}
	e.inFlight++
	if now < e.SlowStartUntil {
		e.slowStartTokens--
	}
}

// endRequest releases the slot of a request that wasn't canceled.
func (e *endpoint) endRequest(now ids.Time) {
	e.inFlight--
	e.lastResponseAt, e.unresponsiveFor = now, 0
}

// cancelRequest releases the slot of a canceled request. A cancellation isn't a response:
// an unresponsive target must be detected even if all its clients disconnect early.
func (e *endpoint) cancelRequest(now ids.Time) {
	e.inFlight--
	e.unresponsiveFor = now.Sub(e.lastResponseAt)
}

const (
	// failureCooldown applies after a failed connection or a lost response.
	failureCooldown = time.Second
	// overloadCooldown applies after a target didn't run a request. It is short, as a full
	// target soon has a free slot again.
	overloadCooldown = 100 * time.Millisecond
	// wrongTargetCooldown applies after another target responded at the address.
	wrongTargetCooldown = 10 * time.Second
	// loadReportLifetime is how long a load report is used.
	loadReportLifetime = time.Second
)

// recordResult updates cooldown, outlier detection and reported load after an attempt.
// NotExecuted and WrongTarget replace the current cooldown or ejection, even by a shorter
// one. They aren't counted by the outlier detector, as they don't indicate poor health.
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
		failed := result.Result != Complete || result.Response.Status >= statusInternalServerError
		e.cooldownUntil = max(e.cooldownUntil, e.outlierDetector.record(now, failed))
	}
	if result.LoadReported && result.Slots > 0 {
		e.reportedLoad = float64(result.Running+result.Waiting) / float64(result.Slots)
		e.loadReportedAt = now
	}
}

// isAvailable reports whether a target may get new requests.
func (e *endpoint) isAvailable() bool {
	return !e.removed && e.Usable() && !e.ZoneDrained
}

// isReady reports whether a target is neither in cooldown, nor ejected, nor unresponsive.
// Available targets that aren't ready are used only if no target is.
func (e *endpoint) isReady(now ids.Time, meanResponseTime time.Duration) bool {
	return now >= e.cooldownUntil && !e.isUnresponsive(now, meanResponseTime)
}

const (
	// unresponsiveFactor is the number of mean response times without a response after which
	// a target with requests in flight is unresponsive, but not before minUnresponsiveTime.
	unresponsiveFactor  = 4
	minUnresponsiveTime = 400 * time.Millisecond
)

// isUnresponsive reports whether a target with requests in flight hasn't responded for long.
// It may only be slow.
func (e *endpoint) isUnresponsive(now ids.Time, meanResponseTime time.Duration) bool {
	return e.inFlight > 0 && now.Sub(e.lastResponseAt) > max(unresponsiveFactor*meanResponseTime, minUnresponsiveTime)
}

// slowStartAllows refills the token bucket of a target in slow start and reports whether the
// target may get another request.
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
