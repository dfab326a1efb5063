package dispatch

import (
	"strings"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/idempotency"
)

// HTTP status codes of the responses that the dispatcher generates. They are declared here to
// keep net/http out of the state machine.
const (
	statusOK                  = 200
	statusUnprocessableEntity = 422
	statusInternalServerError = 500
	statusBadGateway          = 502
	statusServiceUnavailable  = 503
	statusGatewayTimeout      = 504
)

// defaultRetryAfter is the Retry-After time if there is no better estimate.
const defaultRetryAfter = time.Second

// respond ends a job with its response.
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

// respondAnswered passes on a target's response.
func (d *Dispatcher) respondAnswered(now ids.Time, j *job, response idempotency.Response) {
	d.respond(now, j, Response{Class: Answered, Status: int(response.Status), TargetResponse: response})
}

// respondRejected responds that the request hasn't run and never will. The caller must have
// ensured both; reject does so.
func (d *Dispatcher) respondRejected(now ids.Time, j *job, reason string, retryAfter time.Duration) {
	d.respond(now, j, Response{Class: Rejected, Status: statusServiceUnavailable, Reason: reason, RetryAfter: retryAfter})
}

// respondUnknown responds that the request may have run.
func (d *Dispatcher) respondUnknown(now ids.Time, j *job, status int, reason string) {
	retryAfter := time.Duration(0)
	if j.Repeatable {
		retryAfter = defaultRetryAfter
	}
	d.respond(now, j, Response{Class: Unknown, Status: status, Reason: reason, RetryAfter: retryAfter})
}

// reject ends a job that isn't forwarded (again). It responds that the job hasn't run, unless an
// earlier attempt of a repeatable job may have. A later attempt by the client must first block the
// earlier ones, as otherwise one of them might run after the client got the rejection.
func (d *Dispatcher) reject(now ids.Time, j *job, reason string) {
	d.releaseSlot(now, j)
	if j.mayHaveRun {
		d.respond(now, j, Response{
			Class: Unknown, Status: unknownStatus(now, j), Reason: reasonRetriesExhausted + ": " + reason,
			RetryAfter: d.retryAfter(now, j),
		})
		return
	}
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

// minRetryAfterGoalDivisor divides a latency goal to get the minimum Retry-After time.
const minRetryAfterGoalDivisor = 8

// retryAfter estimates from the queue when a rejected client will find a free slot. The result
// is at least the latency goal divided by minRetryAfterGoalDivisor and at most
// defaultRetryAfter, which is also the result for jobs without a goal.
func (d *Dispatcher) retryAfter(now ids.Time, j *job) time.Duration {
	if j.LatencyGoal == 0 {
		return defaultRetryAfter
	}
	wait := d.estimateWait(len(d.queue), d.totalSlots(now))
	return min(max(wait, j.LatencyGoal/minRetryAfterGoalDivisor), defaultRetryAfter)
}

// unknownStatus returns the status for a request that may have run: Gateway Timeout after its
// deadline, otherwise Bad Gateway.
func unknownStatus(now ids.Time, j *job) int {
	if now >= j.Deadline {
		return statusGatewayTimeout
	}
	return statusBadGateway
}

// maxReasons limits the number of reasons that are counted separately, as some contain addresses.
const maxReasons = 16

// otherReasons is the reason under which all beyond maxReasons are counted.
const otherReasons = "other"

// countReason counts a reason under its text up to the first colon.
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

// TakeFailureReasons returns the number of rejected and unknown responses by reason since the
// last call; nil if there were none.
func (d *Dispatcher) TakeFailureReasons() map[string]int {
	reasons := d.failureReasons
	d.failureReasons = nil
	return reasons
}
