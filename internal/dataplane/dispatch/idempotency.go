package dispatch

import (
	"bytes"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/consensus"
	"dunlinwell/internal/state/idempotency"
)

// callIdempotency asks for an operation on a job's idempotency key, and has the job wait
// in a state for the reply.
func (d *Dispatcher) callIdempotency(now ids.Time, j *job, op consensus.Op, state jobState, timeout time.Duration) {
	j.state = state
	j.sequence++
	call := d.newIdempotencyCall(j, op)
	call.ID = j.ID
	call.Sequence = j.sequence
	call.Timeout = min(timeout, max(j.Deadline.Sub(now), minRegisterTimeout))
	d.Emit(call)
}

// callIdempotencyInBackground asks for an operation whose reply nobody waits for.
func (d *Dispatcher) callIdempotencyInBackground(j *job, op consensus.Op) {
	call := d.newIdempotencyCall(j, op)
	call.Timeout = backgroundTimeout
	d.Emit(call)
}

// newIdempotencyCall returns a call on a job's key, without what concerns the reply.
func (d *Dispatcher) newIdempotencyCall(j *job, op consensus.Op) IdempotencyCall {
	owner := d.Self
	owner.Request = j.ID
	return IdempotencyCall{
		Key: idempotency.RegisterKey(j.Route, j.IdempotencyKey),
		Op:  op,
		Operation: idempotency.Operation{
			Owner:       owner,
			Attempt:     j.Attempt,
			Fingerprint: j.Fingerprint,
			Response:    truncateForStorage(j.response),
		},
	}
}

// maxStoredBody bounds the body that is stored with an outcome, in bytes. If it was larger,
// a later attempt learns that the request ran, and the body's digest, but not the body.
const maxStoredBody = 64 << 10

// truncateForStorage returns a response without its body if that is over maxStoredBody.
func truncateForStorage(response idempotency.Response) idempotency.Response {
	if len(response.Body) > maxStoredBody {
		return idempotency.Response{Status: response.Status, Digest: response.Digest, BodyOmitted: true}
	}
	return response
}

// readRecord reads the record of a job's key.
func (d *Dispatcher) readRecord(now ids.Time, j *job) {
	d.callIdempotency(now, j, consensus.Read, readingRecord, registerTimeout)
}

// onIdempotencyReply goes on with a job by the reply to its latest call. Replies to
// earlier calls are ignored.
func (d *Dispatcher) onIdempotencyReply(now ids.Time, reply IdempotencyReply) {
	j := d.jobs[reply.ID]
	if j == nil || j.sequence != reply.Sequence {
		return
	}
	switch j.state {
	case readingRecord:
		d.onRecordRead(now, j, reply)
	case numberingAttempt:
		d.onAttemptNumbered(now, j, reply)
	case claimingKey:
		d.onClaimReply(now, j, reply)
	case blockingAttempts:
		d.onBlockReply(now, j, reply)
	case storingOutcome:
		// If the outcome couldn't be stored, the claim still prevents a second run, so
		// the response isn't held back.
		d.respondAnswered(now, j, j.response)
	}
}

// onRecordRead goes on with a job by the record of its key.
func (d *Dispatcher) onRecordRead(now ids.Time, j *job, reply IdempotencyReply) {
	record, ok := idempotency.DecodeRecord(reply.Payload)
	switch {
	case reply.Outcome != consensus.Succeeded || !ok:
		d.respondUnknown(now, j, statusGatewayTimeout, reasonRecordNotRead)
	case record.State != idempotency.Unclaimed && !bytes.Equal(record.Fingerprint, j.Fingerprint):
		d.respondKeyReused(now, j)
	case record.State == idempotency.Completed:
		d.replay(now, j, record.Response)
	case record.State == idempotency.Claimed:
		d.waitForOwner(now, j, record.Owner)
	default:
		d.admit(now, j)
	}
}

// onAttemptNumbered goes on with a job whose attempt the register has numbered.
func (d *Dispatcher) onAttemptNumbered(now ids.Time, j *job, reply IdempotencyReply) {
	result, ok := decodeResult(reply)
	if !ok {
		d.respondUnknown(now, j, statusGatewayTimeout, reasonRecordNotRead)
		return
	}
	switch result.Verdict {
	case idempotency.Released:
		j.Attempt = max(result.Record.NumberedAttempts, 1)
		d.admit(now, j)
	case idempotency.FingerprintMismatch:
		d.respondKeyReused(now, j)
	case idempotency.AlreadyCompleted:
		d.replay(now, j, result.Record.Response)
	case idempotency.RecordLost:
		d.respondUnknown(now, j, statusGatewayTimeout, reasonRecordsLost)
	default:
		d.waitForOwner(now, j, result.Record.Owner)
	}
}

// onClaimReply forwards a job whose claim was granted, unless that took too long.
func (d *Dispatcher) onClaimReply(now ids.Time, j *job, reply IdempotencyReply) {
	result, ok := decodeResult(reply)
	if !ok {
		d.reject(now, j, reasonClaimTimeout)
		return
	}
	switch result.Verdict {
	case idempotency.Granted:
		d.onClaimGranted(now, j)
	case idempotency.InProgress:
		d.waitForOwner(now, j, result.Record.Owner)
	case idempotency.AlreadyCompleted:
		d.replay(now, j, result.Record.Response)
	case idempotency.FingerprintMismatch:
		d.respondKeyReused(now, j)
	case idempotency.RecordLost:
		j.claimRequested = false
		d.respondUnknown(now, j, statusGatewayTimeout, reasonRecordsLost)
	default:
		// AttemptBlocked: the client of a later attempt was told that this one never runs.
		j.claimRequested = false
		d.respondRejected(now, j, reasonSuperseded, defaultRetryAfter)
	}
}

// onClaimGranted forwards a job that holds a slot and its claim, if there is time left and
// the process wasn't frozen meanwhile.
func (d *Dispatcher) onClaimGranted(now ids.Time, j *job) {
	switch {
	case now >= j.Deadline:
		d.reject(now, j, reasonNoTimeLeft)
	case d.isFrozenOrStale(now):
		d.reject(now, j, reasonFrozen)
	default:
		d.forward(now, j)
	}
}

// onBlockReply answers a job that is given up, once it is known whether an earlier attempt
// of it ran or still may.
func (d *Dispatcher) onBlockReply(now ids.Time, j *job, reply IdempotencyReply) {
	result, ok := decodeResult(reply)
	if !ok {
		d.respondUnknown(now, j, statusGatewayTimeout, j.rejectReason+suffixBlockUnknown)
		return
	}
	switch result.Verdict {
	case idempotency.Released:
		d.respondRejected(now, j, j.rejectReason, defaultRetryAfter)
	case idempotency.AlreadyCompleted:
		d.replay(now, j, result.Record.Response)
	case idempotency.FingerprintMismatch:
		d.respondKeyReused(now, j)
	default:
		d.respondUnknown(now, j, statusGatewayTimeout, reasonMayStillRun)
	}
}

// decodeResult returns the result of an operation that is known to be chosen, else false.
func decodeResult(reply IdempotencyReply) (idempotency.Result, bool) {
	result, ok := idempotency.DecodeResult(reply.Payload)
	return result, ok && reply.Outcome == consensus.Succeeded
}

// respondKeyReused says that the key belongs to another operation of the client.
func (d *Dispatcher) respondKeyReused(now ids.Time, j *job) {
	d.respond(now, j, Response{Class: ClientError, Status: statusUnprocessableEntity, Reason: reasonKeyReused})
}

// waitForOwner has a job wait until the attempt that holds the claim completes. The claim
// of a run that has ended will never be completed.
func (d *Dispatcher) waitForOwner(now ids.Time, j *job, owner idempotency.Owner) {
	d.releaseSlot(now, j)
	if owner.Daemon != d.Self.Daemon && d.service.RunEnded != nil && d.service.RunEnded(owner.Daemon, owner.RunID) {
		d.respondUnknown(now, j, statusGatewayTimeout, reasonOwnerGone)
		return
	}
	if owner.Daemon == d.Self.Daemon && owner.RunID != d.Self.RunID {
		d.respondUnknown(now, j, statusGatewayTimeout, reasonOwnerRestarted)
		return
	}
	j.state, j.recheckAt = waitingForOwner, now.Add(ownerPollInterval)
	// Replies to this job's earlier calls no longer matter.
	j.sequence++
}

// lostResponse is stored in place of a response that will never be known. It isn't to be
// told from a target's own response of this status whose body was too large to store.
var lostResponse = idempotency.Response{Status: statusGatewayTimeout, BodyOmitted: true}

// isLostResponse tells whether a stored response stands for an unknown one. One without a
// status does too, as nothing was stored.
func isLostResponse(stored idempotency.Response) bool {
	return stored.Status == 0 || stored.Status == lostResponse.Status && stored.BodyOmitted
}

// replay answers with the stored outcome of an earlier attempt.
func (d *Dispatcher) replay(now ids.Time, j *job, stored idempotency.Response) {
	d.Counters.Replayed++
	switch {
	case isLostResponse(stored):
		d.respondUnknown(now, j, statusGatewayTimeout, reasonResponseLost)
	case stored.BodyOmitted:
		d.respond(now, j, Response{Class: Answered, Status: statusOK, Reason: reasonBodyOmitted, TargetResponse: stored})
	default:
		d.respondAnswered(now, j, stored)
	}
}
