package dispatch

import (
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/idempotency"
)

// forward sends a job that holds a slot to its target. From here on the job may be
// Rejected only if no byte of it left, or the target states that it hasn't run it.
func (d *Dispatcher) forward(now ids.Time, j *job) {
	// Claiming the key took time: what held when the slot was found may not hold now.
	if reason := d.blockedReason(now, j); reason != "" {
		d.reject(now, j, reason)
		return
	}
	e := d.endpoints[j.target]
	if e == nil || !e.isAvailable() || e.inFlight > d.slotShare(now, e.Allocation) {
		// Meanwhile the target has left, or restarted with fewer slots.
		d.releaseSlot(now, j)
		d.admit(now, j)
		return
	}
	if !j.budgetCounted && !d.countInBudget(j) {
		d.reject(now, j, reasonBudgetSpent)
		return
	}
	j.state = forwarding
	j.timesSent++
	j.sequence++
	j.forwardedAt = now
	d.Counters.countForward(e.Distance)
	d.Emit(Forward{
		ID:            j.ID,
		Sequence:      j.sequence,
		Target:        e.Target,
		Deadline:      j.Deadline,
		SendBefore:    min(j.Deadline, d.leaseExpiresAt),
		NewConnection: j.requiresIdempotencyKey(),
		RecentOnly:    j.AtMostOnce,
	})
}

// countInBudget counts a job that is about to leave for the first time. A client's own
// retry withdraws from the retry budget like the dispatcher's, and returns false if there
// is nothing left. A first request makes its deposit now: if that came any later, it could
// be spent in a span of time that holds only the retries.
func (d *Dispatcher) countInBudget(j *job) bool {
	if j.Attempt > 1 && !d.retryBudget.withdraw() {
		return false
	}
	j.budgetCounted = true
	j.budgetEarned = j.Attempt <= 1
	if j.budgetEarned {
		d.retryBudget.deposit()
	}
	return true
}

// onAttemptFinished goes on with a job whose forwarded attempt has ended. Reports on any
// but its latest attempt are ignored.
func (d *Dispatcher) onAttemptFinished(now ids.Time, result AttemptFinished) {
	j := d.jobs[result.ID]
	if j == nil || j.sequence != result.Sequence || j.state != forwarding {
		return
	}
	// A failure of the target's own is a complete response too: it is final if nobody
	// may try again.
	if result.Result == TargetFailed && !j.Repeatable {
		result.Result = Complete
	}
	d.recordAttempt(now, j, result)
	if result.Result == NotSent {
		if !d.onUnsentAttemptFinished(now, j, result) {
			// The slot that it held is given out at the next event or tick.
			return
		}
	} else {
		d.onSentAttemptFinished(now, j, result)
	}
	d.dispatchQueue(now)
}

// recordAttempt updates the mean response time, the target's state and the retry budget by
// a finished attempt, and releases its slot.
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
	if result.Result == NotSent && j.budgetEarned {
		d.retryBudget.cancelDeposit()
		j.budgetEarned, j.budgetCounted = false, false
	}
}

// onSentAttemptFinished goes on with a job of which bytes have left.
func (d *Dispatcher) onSentAttemptFinished(now ids.Time, j *job, result AttemptFinished) {
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
			// Stored as final, so that a later attempt learns at once that nobody will
			// ever know more.
			j.response = lostResponse
			d.callIdempotencyInBackground(j, idempotency.OpComplete)
		}
		d.respondUnknown(now, j, unknownStatus(now, j), reasonMayHaveRun+": "+result.Reason)
	}
}
