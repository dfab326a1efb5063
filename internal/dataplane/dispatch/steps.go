package dispatch

import (
	"bytes"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/consensus"
	"dunlinwell/internal/state/idempotency"
)

// onIdempotencyReply goes on with a job once its mark's register has spoken.
func (d *Dispatcher) onIdempotencyReply(now ids.Time, reply IdempotencyReply) {
	j := d.jobs[reply.ID]
	if j == nil || j.sequence != reply.Sequence {
		return
	}
	switch j.state {
	case readingRecord:
		d.onRecordRead(now, j, reply)
	case registeringAttempt:
		d.onAttemptRegistered(now, j, reply)
	case claimingKey:
		d.onClaimReply(now, j, reply)
	case blockingAttempts:
		d.onBlockReply(now, j, reply)
	case storingOutcome:
		// A lost outcome doesn't hold the answer back: the claim still stands
		// against a second run.
		d.onOutcomeStored(now, j)
	}
}

func (d *Dispatcher) onRecordRead(now ids.Time, j *job, reply IdempotencyReply) {
	record, ok := idempotency.DecodeRecord(reply.Payload)
	switch {
	case reply.Outcome != consensus.Succeeded || !ok:
		d.respondUnknown(now, j, 504, "an earlier attempt may have run; its mark can't be read now")
	case record.State != idempotency.Unclaimed && !bytes.Equal(record.Fingerprint, j.Fingerprint):
		d.respondMismatch(now, j)
	case record.State == idempotency.Completed:
		d.replay(now, j, record.Response)
	case record.State == idempotency.Claimed:
		d.waitForOwner(now, j, record.Owner)
	default:
		d.admit(now, j)
	}
}

// onAttemptRegistered goes on with an attempt that the register has numbered.
func (d *Dispatcher) onAttemptRegistered(now ids.Time, j *job, reply IdempotencyReply) {
	result, ok := idempotency.DecodeResult(reply.Payload)
	switch {
	case reply.Outcome != consensus.Succeeded || !ok:
		d.respondUnknown(now, j, 504, "an earlier attempt may have run; its mark can't be read now")
	case result.Verdict == idempotency.Released:
		j.Attempt = max(result.Record.NumberedAttempts, 1)
		d.admit(now, j)
	case result.Verdict == idempotency.FingerprintMismatch:
		d.respondMismatch(now, j)
	case result.Verdict == idempotency.AlreadyCompleted:
		d.replay(now, j, result.Record.Response)
	case result.Verdict == idempotency.RecordLost:
		d.respondUnknown(now, j, 504, "an earlier attempt may have run; marks were lost of late")
	default:
		d.waitForOwner(now, j, result.Record.Owner)
	}
}

func (d *Dispatcher) respondMismatch(now ids.Time, j *job) {
	d.respond(now, j, Response{Class: ClientError, Status: 422, Reason: "this mark was used for another method, path or body"})
}

// waitForOwner is for another's run. One whose proxy is gone will never tell.
func (d *Dispatcher) waitForOwner(now ids.Time, j *job, owner idempotency.Owner) {
	d.releaseSlot(now, j)
	if owner.Daemon != d.Self.Daemon && d.service.RunEnded != nil && d.service.RunEnded(owner.Daemon, owner.RunID) {
		d.respondUnknown(now, j, 504, "may have run; the proxy that had it is gone")
		return
	}
	// A run of our own that isn't at hand any more ended before a restart.
	if owner.Daemon == d.Self.Daemon && owner.RunID != d.Self.RunID {
		d.respondUnknown(now, j, 504, "may have run; this proxy was restarted meanwhile")
		return
	}
	j.state, j.recheckAt = waitingForOwner, now.Add(100*time.Millisecond)
	j.sequence++
}

func (d *Dispatcher) onClaimReply(now ids.Time, j *job, reply IdempotencyReply) {
	result, ok := idempotency.DecodeResult(reply.Payload)
	if reply.Outcome != consensus.Succeeded || !ok {
		d.reject(now, j, "the mark couldn't be claimed in time")
		return
	}
	switch result.Verdict {
	case idempotency.Granted:
		// A claim alone is not enough: time must be left, and no pause noticed.
		switch {
		case now >= j.Deadline:
			d.reject(now, j, "no time left")
		case d.isPausedOrStale(now):
			d.reject(now, j, "this proxy was paused")
		default:
			d.forward(now, j)
		}
	case idempotency.InProgress:
		d.waitForOwner(now, j, result.Record.Owner)
	case idempotency.AlreadyCompleted:
		d.replay(now, j, result.Record.Response)
	case idempotency.FingerprintMismatch:
		d.respondMismatch(now, j)
	case idempotency.RecordLost:
		j.claimRequested = false
		d.respondUnknown(now, j, 504, "an earlier attempt may have run; marks were lost of late")
	default:
		// Barred: a later attempt was told that this one will never run.
		j.claimRequested = false
		d.respond(now, j, Response{Class: Rejected, Status: 503, Reason: "given up in favour of a later attempt", RetryAfter: time.Second})
	}
}

func (d *Dispatcher) onBlockReply(now ids.Time, j *job, reply IdempotencyReply) {
	result, ok := idempotency.DecodeResult(reply.Payload)
	switch {
	case reply.Outcome != consensus.Succeeded || !ok:
		d.respondUnknown(now, j, 504, j.rejectReason+"; whether an earlier attempt ran isn't known")
	case result.Verdict == idempotency.Released:
		d.respond(now, j, Response{Class: Rejected, Status: 503, Reason: j.rejectReason, RetryAfter: time.Second})
	case result.Verdict == idempotency.AlreadyCompleted:
		d.replay(now, j, result.Record.Response)
	case result.Verdict == idempotency.FingerprintMismatch:
		d.respondMismatch(now, j)
	default:
		d.respondUnknown(now, j, 504, "another attempt may still run")
	}
}

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

func (d *Dispatcher) onOutcomeStored(now ids.Time, j *job) {
	d.respond(now, j, Response{Class: Answered, Status: int(j.response.Status), TargetResponse: j.response})
}

// onTick ends what has run out of time and looks again at what waits.
func (d *Dispatcher) onTick(now ids.Time) {
	d.lastTickAt = now
	for _, id := range d.sortedJobIDs() {
		j := d.jobs[id]
		switch {
		case j == nil:
		case j.state == waitingForOwner && now >= j.Deadline:
			d.respondUnknown(now, j, 504, "another attempt is still running")
		case j.state == waitingForOwner && now >= j.recheckAt:
			d.readRecord(now, j)
		}
	}
	d.pruneQueue(now)
	d.dispatchQueue(now)
}
