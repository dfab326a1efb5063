package dispatch

import (
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/idempotency"
)

// forward lets the request go. From here on "rejected" is out of the question
// unless no byte left.
func (d *Dispatcher) forward(now ids.Time, j *job) {
	// The mark took its time: what was so when the place was found may not be.
	if reason := d.blockedReason(now, j); reason != "" {
		d.reject(now, j, reason)
		return
	}
	e := d.endpoints[j.target]
	if e == nil || !d.isAvailable(e) || e.inFlight > d.slotShare(now, e.Allocation) {
		// While the mark was being claimed the target went, or came back cold.
		d.releaseSlot(now, j)
		d.admit(now, j)
		return
	}
	// A client's repeat that reaches a target is a retry like our own.
	if j.Attempt > 1 && !j.budgetCounted && !d.retryBudget.withdraw() {
		d.reject(now, j, "the budget for repeated requests is used up")
		return
	}
	// A first request earns as it leaves: counted any later, its share could
	// be spent in a span that has only the retries.
	if !j.budgetCounted {
		j.budgetCounted = true
		j.budgetEarned = j.Attempt <= 1
		if j.budgetEarned {
			d.retryBudget.deposit()
		}
	}
	j.state = forwarding
	j.timesSent++
	j.sequence++
	j.forwardedAt = now
	d.Counters.countForward(e.Distance)
	d.Emit(Forward{ID: j.ID, Sequence: j.sequence, Target: e.Target, Deadline: j.Deadline, SendBefore: min(j.Deadline, d.leaseExpiresAt), NewConnection: j.hasIdempotencyRecord(), RecentOnly: j.AtMostOnce})
}

// onAttemptFinished takes a forwarded request's end.
func (d *Dispatcher) onAttemptFinished(now ids.Time, result AttemptFinished) {
	j := d.jobs[result.ID]
	if j == nil || j.sequence != result.Sequence || j.state != forwarding {
		return
	}
	e := d.endpoints[j.target]
	// A failure is sealed too: where nobody may try again it is the answer.
	if result.Result == TargetFailed && !j.Repeatable {
		result.Result = Complete
	}
	if result.Result == Complete {
		d.meanResponseTime += (now.Sub(j.forwardedAt) - d.meanResponseTime) / 8
	}
	if e != nil {
		e.recordResult(now, result)
	}
	j.triedTargets[j.target] = true
	d.releaseSlot(now, j)
	if result.Result == NotSent && j.budgetEarned {
		d.retryBudget.cancelDeposit()
		j.budgetEarned, j.budgetCounted = false, false
	}
	switch {
	case result.Result == Complete && !j.hasIdempotencyRecord():
		d.respond(now, j, Response{Class: Answered, Status: int(result.Response.Status), TargetResponse: result.Response})
	case result.Result == Complete:
		j.response = result.Response
		d.callIdempotency(now, j, idempotency.OpComplete, storingOutcome, 500*time.Millisecond)
	case result.Result == NotSent:
		// Nothing left, so another target may have it, and no retry is spent.
		j.timesSent--
		if j.failedAttempts++; j.failedAttempts > 3 {
			d.reject(now, j, "no target could be reached: "+result.Reason)
			return
		}
		d.admit(now, j)
	case result.Result == NotExecuted || result.Result == WrongTarget:
		d.onNotExecuted(now, j, result)
	case j.Repeatable:
		d.retry(now, j, result)
	case j.AtMostOnce:
		d.respondUnknown(now, j, unknownStatus(now, j), "may have run: "+result.Reason)
	default:
		// Final: a repeat learns at once that nobody will ever know more.
		j.response = idempotency.Response{Status: 504, BodyOmitted: true}
		d.Emit(IdempotencyCall{Key: idempotency.RegisterKey(j.Route, j.IdempotencyKey), Op: idempotency.OpComplete, Operation: d.idempotencyOperation(j), Timeout: 10 * time.Second})
		d.respondUnknown(now, j, unknownStatus(now, j), "may have run: "+result.Reason)
	}
	d.dispatchQueue(now)
}
