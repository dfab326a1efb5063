package dispatch

import (
	"strings"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/idempotency"
)

// respond ends a job with its one answer.
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

// maxReasons bounds the reasons kept apart; some name addresses.
const maxReasons = 16

// countReason counts a reason, by its words before any colon.
func (d *Dispatcher) countReason(reason string) {
	reason, _, _ = strings.Cut(reason, ":")
	if _, known := d.failureReasons[reason]; !known && len(d.failureReasons) >= maxReasons {
		reason = "other"
	}
	if d.failureReasons == nil {
		d.failureReasons = map[string]int{}
	}
	d.failureReasons[reason]++
}

// TakeFailureReasons gives why requests got no answer since it was last asked.
func (d *Dispatcher) TakeFailureReasons() map[string]int {
	reasons := d.failureReasons
	d.failureReasons = nil
	return reasons
}

func (d *Dispatcher) respondUnknown(now ids.Time, j *job, status int, reason string) {
	retryAfter := time.Duration(0)
	if j.Repeatable {
		retryAfter = time.Second
	}
	d.respond(now, j, Response{Class: Unknown, Status: status, Reason: reason, RetryAfter: retryAfter})
}

// reject gives a job up that surely has not run. A later attempt must first
// bar the earlier ones, or one of them might still run after this answer.
func (d *Dispatcher) reject(now ids.Time, j *job, reason string) {
	d.releaseSlot(now, j)
	if j.hasIdempotencyRecord() && j.Attempt > 1 {
		j.rejectReason = reason
		d.callIdempotency(now, j, idempotency.OpBlock, blockingAttempts, 500*time.Millisecond)
		return
	}
	if j.claimRequested {
		d.Emit(IdempotencyCall{Key: idempotency.RegisterKey(j.Route, j.IdempotencyKey), Op: idempotency.OpRelease, Operation: d.idempotencyOperation(j), Timeout: 10 * time.Second})
	}
	d.respond(now, j, Response{Class: Rejected, Status: 503, Reason: reason, RetryAfter: d.retryAfter(now, j)})
}

// retryAfter is when a rejected client should come back: when a place is likely,
// by what waits now. Without a goal there is no telling how soon is soon.
func (d *Dispatcher) retryAfter(now ids.Time, j *job) time.Duration {
	if j.LatencyGoal == 0 {
		return time.Second
	}
	wait := time.Duration(len(d.queue)+1) * d.meanResponseTime / time.Duration(max(d.totalSlots(now), 1))
	return min(max(wait, j.LatencyGoal/8), time.Second)
}

func unknownStatus(now ids.Time, j *job) int {
	if now >= j.Deadline {
		return 504
	}
	return 502
}
