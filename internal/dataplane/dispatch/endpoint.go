package dispatch

import (
	"time"

	"dunlinwell/internal/base/ids"
)

// endpoint is the load-balancing state of one target: requests in flight, cooldown after
// a failure, slow start, reported load and outlier ejection.
type endpoint struct {
	Allocation
	// inFlight counts the slots in use by this proxy.
	inFlight int
	// cooldownUntil is until when other targets are preferred, for a cooldown after a
	// failure or for an ejection.
	cooldownUntil ids.Time
	// removed is set while the target isn't part of the service state.
	removed bool
	// lastResponseAt is when a request last came back from the target, or, if none was in
	// flight before, when the oldest one in flight left.
	lastResponseAt ids.Time
	// silentFor is for how long the target hadn't responded when its last request was
	// canceled; 0 once it has responded.
	silentFor time.Duration
	// slowStartTokens is a token bucket of one request at most that bounds the rate
	// until SlowStartUntil.
	slowStartTokens  float64
	tokensRefilledAt ids.Time
	// reportedLoad is the target's last report: requests running and waiting, divided
	// by its slots.
	reportedLoad   float64
	loadReportedAt ids.Time
	outlierDetector
}

// startRequest counts a request that takes a slot.
func (e *endpoint) startRequest(now ids.Time) {
	if e.inFlight == 0 {
		e.lastResponseAt = now.Add(-e.silentFor)
	}
	e.inFlight++
	if now < e.SlowStartUntil {
		e.slowStartTokens--
	}
}

// endRequest counts a request off that came back from the target.
func (e *endpoint) endRequest(now ids.Time) {
	e.inFlight--
	e.lastResponseAt, e.silentFor = now, 0
}

// cancelRequest counts a request off that was canceled. The target hasn't responded by that:
// a silent target whose clients all leave soon must not look like one that answers.
func (e *endpoint) cancelRequest(now ids.Time) {
	e.inFlight--
	e.silentFor = now.Sub(e.lastResponseAt)
}

const (
	// failureCooldown follows a failed connection or a lost response.
	failureCooldown = time.Second
	// overloadCooldown follows a request that the target didn't run. It is short, as a
	// target that was merely full soon has a free slot again.
	overloadCooldown = 100 * time.Millisecond
	// wrongTargetCooldown follows an answer by another target at the address.
	wrongTargetCooldown = 10 * time.Second
	// loadReportLifetime is how long a target's report on its load is used.
	loadReportLifetime = time.Second
)

// recordResult updates cooldown, outlier detection and reported load by the end of an
// attempt. NotExecuted and WrongTarget set the cooldown anew, also where that shortens one
// or an ejection; they say nothing of the target's health, so they aren't counted there.
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

// isAvailable tells whether a target may get new requests at all.
func (e *endpoint) isAvailable() bool {
	return !e.removed && e.Usable() && !e.ZoneDrained
}

// isReady tells whether an available target is neither in cooldown, or ejected, nor
// unresponsive. Others are used only while no target is ready.
func (e *endpoint) isReady(now ids.Time, meanResponseTime time.Duration) bool {
	return now >= e.cooldownUntil && !e.isUnresponsive(now, meanResponseTime)
}

const (
	// unresponsiveFactor is how many mean response times without any response make a
	// target with requests in flight unresponsive, but not before minUnresponsiveTime.
	unresponsiveFactor  = 4
	minUnresponsiveTime = 400 * time.Millisecond
)

// isUnresponsive tells whether a target has had requests in flight for long without any
// response. It may just be slow.
func (e *endpoint) isUnresponsive(now ids.Time, meanResponseTime time.Duration) bool {
	return e.inFlight > 0 && now.Sub(e.lastResponseAt) > max(unresponsiveFactor*meanResponseTime, minUnresponsiveTime)
}

// slowStartAllows refills the token bucket of a target in slow start, and tells whether
// the target may get one more request.
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
