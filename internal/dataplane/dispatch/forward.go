package dispatch

import (
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/idempotency"
)

// forward sends a job that holds a slot to its target. After that the job may be Rejected only
// if none of its bytes were sent, or if the target states that it hasn't run the request.
func (d *Dispatcher) forward(now ids.Time, j *job) {
	// Claiming the key takes time, so the conditions may have changed since the slot was assigned.
	if reason := d.blockedReason(now, j); reason != "" {
		d.reject(now, j, reason)
		return
	}
	e := d.endpoints[j.target]
	if e == nil || !e.isAvailable() || e.inFlight > d.slotShare(now, e.Allocation) {
		// The target has been removed, or restarted with fewer slots.
		d.releaseSlot(now, j)
		d.admit(now, j)
		return
	}
	if !j.budgetCounted && !d.countInBudget(j) {
		d.reject(now, j, reasonRetryBudgetExhausted)
		return
	}
	j.state = forwarding
	j.sentAttempts++
	j.sequence++
	j.forwardedAt = now
	d.Counters.countForward(e.Distance)
	d.Emit(Forward{
		ID:               j.ID,
		Sequence:         j.sequence,
		Target:           e.Target,
		Deadline:         j.Deadline,
		SendBefore:       min(j.Deadline, d.leaseExpiresAt),
		NewConnection:    j.requiresIdempotencyKey(),
		RecentlyUsedOnly: j.AtMostOnce,
	})
}

// countInBudget counts a job in the retry budget before it is first forwarded. A retry by the
// client makes a withdrawal, like one by the dispatcher; countInBudget returns false if the
// budget is too low. A first request makes its deposit now, because a later deposit could be
// spent in a period that contains only the retries.
func (d *Dispatcher) countInBudget(j *job) bool {
	if j.Attempt > 1 && !d.retryBudget.withdraw() {
		return false
	}
	j.budgetCounted = true
	j.budgetDeposited = j.Attempt <= 1
	if j.budgetDeposited {
		d.retryBudget.deposit()
	}
	return true
}

// onAttemptFinished handles the end of a forwarded attempt. Reports on any but a job's latest
// attempt are ignored.
func (d *Dispatcher) onAttemptFinished(now ids.Time, result AttemptFinished) {
	j := d.jobs[result.ID]
	if j == nil || j.sequence != result.Sequence || j.state != forwarding {
		return
	}
	// TargetFailed comes with a complete response, which is final if the request can't be
	// retried.
	if result.Result == TargetFailed && !j.Repeatable {
		result.Result = Complete
	}
	d.recordAttempt(now, j, result)
	if result.Result == NotSent {
		if !d.onUnsentAttemptFinished(now, j, result) {
			// The released slot is assigned at the next event or tick.
			return
		}
	} else {
		d.onSentAttemptFinished(now, j, result)
	}
	d.dispatchQueue(now)
}

// recordAttempt updates the mean response time, the target's state and the retry budget after
// an attempt, and releases its slot.
func (d *Dispatcher) recordAttempt(now ids.Time, j *job, result AttemptFinished) {
	if result.Result == Complete {
		d.meanResponseTime += (now.Sub(j.forwardedAt) - d.meanResponseTime) / responseTimeSmoothing
	}
	j.triedTargets[j.target] = true
	if j.isCanceled(result.Result) {
		d.releaseCanceledSlot(now, j)
	} else {
		if e := d.endpoints[j.target]; e != nil {
			e.recordResult(now, result)
		}
		d.releaseSlot(now, j)
	}
	if result.Result == NotSent && j.budgetDeposited {
		d.retryBudget.cancelDeposit()
		j.budgetDeposited, j.budgetCounted = false, false
	}
}

// onSentAttemptFinished handles the end of an attempt of which bytes were sent.
func (d *Dispatcher) onSentAttemptFinished(now ids.Time, j *job, result AttemptFinished) {
	j.mayHaveRun = j.mayHaveRun || !result.Result.excludesRun()
	switch {
	case result.Result == Complete && !j.requiresIdempotencyKey():
		d.respondAnswered(now, j, result.Response)
	case result.Result == Complete:
		j.response = result.Response
		d.callIdempotency(now, j, idempotency.OpComplete, storingOutcome, responseHeldTimeout)
	case result.Result == NotExecuted || result.Result == WrongTarget:
		d.onNotExecutedAttempt(now, j, result)
	case j.Repeatable:
		d.retry(now, j, result)
	default:
		if j.requiresIdempotencyKey() {
			// Stored as the final outcome, so that later attempts don't wait for a
			// response that will never be known.
			j.response = lostResponse
			d.callIdempotencyInBackground(j, idempotency.OpComplete)
		}
		d.respondUnknown(now, j, unknownStatus(now, j), reasonMayHaveRun+": "+result.Reason)
	}
}
