package dispatch

import "dunlinwell/internal/base/ids"

// attemptsExhausted tells whether a job was sent to as many targets as it may be.
func (d *Dispatcher) attemptsExhausted(j *job) bool {
	if j.MaxAttempts > 0 {
		return j.timesSent >= j.MaxAttempts
	}
	return j.failedAttempts > 2
}

// onNotExecuted sends on what a target says that it did not run: to another one,
// as a retry, or back to its client.
func (d *Dispatcher) onNotExecuted(now ids.Time, j *job, result AttemptFinished) {
	if j.hasIdempotencyRecord() {
		// Its mark's claim stands, and another place is asked for under it.
		d.admit(now, j)
		return
	}
	if j.failedAttempts++; d.attemptsExhausted(j) || now.Add(d.meanResponseTime) >= j.Deadline || !d.retryBudget.withdraw() {
		d.reject(now, j, "targets turned it away: "+result.Reason)
		return
	}
	d.Counters.Retried++
	d.admit(now, j)
}

// retry sends a repeatable request again, within the budget and the time.
func (d *Dispatcher) retry(now ids.Time, j *job, result AttemptFinished) {
	if j.failedAttempts++; d.attemptsExhausted(j) || now.Add(d.meanResponseTime) >= j.Deadline || !d.retryBudget.withdraw() {
		// A failure of the target's own is still its answer.
		if result.Result == TargetFailed {
			d.respond(now, j, Response{Class: Answered, Status: int(result.Response.Status), TargetResponse: result.Response})
			return
		}
		d.respondUnknown(now, j, unknownStatus(now, j), "given up: "+result.Reason)
		return
	}
	d.Counters.Retried++
	d.admit(now, j)
}
