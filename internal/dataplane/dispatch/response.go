package dispatch

import (
	"strings"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/idempotency"
)

// HTTP status codes of responses that aren't a target's own. They stand here as net/http
// has no place in a state machine.
const (
	statusOK                  = 200
	statusUnprocessableEntity = 422
	statusInternalServerError = 500
	statusBadGateway          = 502
	statusServiceUnavailable  = 503
	statusGatewayTimeout      = 504
)

// defaultRetryAfter is when clients should try again where nothing better is known.
const defaultRetryAfter = time.Second

// respond ends a job with its one response.
func (d *Dispatcher) respond(now ids.Time, j *job, response Response) {
	response.ID = j.ID
	d.releaseSlot(now, j)
	delete(d.jobs, j.ID)
	switch response.Class {
	case Rejected:
		d.Counters.Rejected++
		d.countReason(response.Reason)
	case Unknown:
		d.Counters.Unknown++
		d.countReason(response.Reason)
	case Answered:
		d.Counters.Answered++
	}
	d.Emit(response)
}

// respondAnswered passes a target's own response on.
func (d *Dispatcher) respondAnswered(now ids.Time, j *job, response idempotency.Response) {
	d.respond(now, j, Response{Class: Answered, Status: int(response.Status), TargetResponse: response})
}

// respondRejected says that the request hasn't run and never will. The caller must be
// sure of both; reject takes the steps that make it sure.
func (d *Dispatcher) respondRejected(now ids.Time, j *job, reason string, retryAfter time.Duration) {
	d.respond(now, j, Response{Class: Rejected, Status: statusServiceUnavailable, Reason: reason, RetryAfter: retryAfter})
}

// respondUnknown says that the request may have run.
func (d *Dispatcher) respondUnknown(now ids.Time, j *job, status int, reason string) {
	retryAfter := time.Duration(0)
	if j.Repeatable {
		retryAfter = defaultRetryAfter
	}
	d.respond(now, j, Response{Class: Unknown, Status: status, Reason: reason, RetryAfter: retryAfter})
}

// reject gives up a job that has surely not run. A later attempt must first block the
// earlier ones, or one of them might still run after the client was told that none did.
func (d *Dispatcher) reject(now ids.Time, j *job, reason string) {
	d.releaseSlot(now, j)
	if j.requiresIdempotencyKey() && j.Attempt > 1 {
		j.rejectReason = reason
		d.callIdempotency(now, j, idempotency.OpBlock, blockingAttempts, responseHeldTimeout)
		return
	}
	if j.claimRequested {
		d.callIdempotencyInBackground(j, idempotency.OpRelease)
	}
	d.respondRejected(now, j, reason, d.retryAfter(now, j))
}

// minRetryAfterGoalDivisor is the divisor of a latency goal that gives the shortest time
// after which its client is asked to come back.
const minRetryAfterGoalDivisor = 8

// retryAfter estimates when a rejected client will find a free slot, by what waits now:
// at least an eighth of its goal and at most defaultRetryAfter. A client without a goal
// gets defaultRetryAfter.
func (d *Dispatcher) retryAfter(now ids.Time, j *job) time.Duration {
	if j.LatencyGoal == 0 {
		return defaultRetryAfter
	}
	wait := d.estimateWait(len(d.queue), d.totalSlots(now))
	return min(max(wait, j.LatencyGoal/minRetryAfterGoalDivisor), defaultRetryAfter)
}

// unknownStatus returns the status for a request that may have run: gateway time-out once
// its deadline is past, else bad gateway.
func unknownStatus(now ids.Time, j *job) int {
	if now >= j.Deadline {
		return statusGatewayTimeout
	}
	return statusBadGateway
}

// maxReasons bounds the reasons that are counted apart, as some name addresses.
const maxReasons = 16

// otherReasons is the reason that counts for all beyond maxReasons.
const otherReasons = "other"

// countReason counts a reason by its text up to the first colon.
func (d *Dispatcher) countReason(reason string) {
	reason, _, _ = strings.Cut(reason, ":")
	if _, known := d.failureReasons[reason]; !known && len(d.failureReasons) >= maxReasons {
		reason = otherReasons
	}
	if d.failureReasons == nil {
		d.failureReasons = map[string]int{}
	}
	d.failureReasons[reason]++
}

// TakeFailureReasons returns why requests got no response of a target, with counts since
// the last call; nil if there were none.
func (d *Dispatcher) TakeFailureReasons() map[string]int {
	reasons := d.failureReasons
	d.failureReasons = nil
	return reasons
}
