package dispatch

import (
	"bytes"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/consensus"
	"dunlinwell/internal/state/idempotency"
)

// callIdempotency requests an operation on a job's idempotency key, and puts the job into the
// state that waits for the reply.
func (d *Dispatcher) callIdempotency(now ids.Time, j *job, op consensus.Op, state jobState, timeout time.Duration) {
	j.state = state
	j.sequence++
	call := d.newIdempotencyCall(j, op)
	call.ID = j.ID
	call.Sequence = j.sequence
	call.Timeout = min(timeout, max(j.Deadline.Sub(now), minRegisterTimeout))
	d.Emit(call)
}

// callIdempotencyInBackground requests an operation without waiting for the reply.
func (d *Dispatcher) callIdempotencyInBackground(j *job, op consensus.Op) {
	call := d.newIdempotencyCall(j, op)
	call.Timeout = backgroundTimeout
	d.Emit(call)
}

// newIdempotencyCall returns a call on a job's key, without the fields that concern the reply.
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

// maxStoredBody is the maximum size of a stored response body, in bytes. For a larger one,
// later attempts get only the status and the body's digest.
const maxStoredBody = 64 << 10

// truncateForStorage returns a response, without its body if that exceeds maxStoredBody.
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

// onIdempotencyReply handles the reply to a job's latest call. Replies to earlier calls are
// ignored.
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
		// Respond even if the outcome couldn't be stored: the claim still prevents a
		// second run.
		d.respondAnswered(now, j, j.response)
	}
}

// onRecordRead continues a job according to the record of its key.
func (d *Dispatcher) onRecordRead(now ids.Time, j *job, reply IdempotencyReply) {
	record, ok := idempotency.DecodeRecord(reply.Payload)
	switch {
	case reply.Outcome != consensus.Succeeded || !ok:
		d.respondUnknown(now, j, statusGatewayTimeout, reasonRecordUnreadable)
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

// onAttemptNumbered handles the reply to a request for an attempt number.
func (d *Dispatcher) onAttemptNumbered(now ids.Time, j *job, reply IdempotencyReply) {
	result, ok := decodeResult(reply)
	if !ok {
		d.respondUnknown(now, j, statusGatewayTimeout, reasonRecordUnreadable)
		return
	}
	switch result.Verdict {
	case idempotency.Released:
		j.Attempt = max(result.Record.LastAssignedAttempt, 1)
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

// onClaimReply handles the reply to a claim.
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
		// AttemptBlocked: a later attempt was rejected with the promise that this one won't run.
		j.claimRequested = false
		d.respondRejected(now, j, reasonSuperseded, defaultRetryAfter)
	}
}

// onClaimGranted forwards a job that holds a slot and its claim, unless its deadline has passed
// or the process was paused in the meantime.
func (d *Dispatcher) onClaimGranted(now ids.Time, j *job) {
	switch {
	case now >= j.Deadline:
		d.reject(now, j, reasonDeadlineExceeded)
	case d.isPausedOrStale(now):
		d.reject(now, j, reasonPaused)
	default:
		d.forward(now, j)
	}
}

// onBlockReply responds to a job that is to be rejected, depending on whether its earlier
// attempts were blocked.
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

// decodeResult returns the result of an operation, or false if its outcome is unknown.
func decodeResult(reply IdempotencyReply) (idempotency.Result, bool) {
	result, ok := idempotency.DecodeResult(reply.Payload)
	return result, ok && reply.Outcome == consensus.Succeeded
}

// respondKeyReused responds that the key was used for a different operation.
func (d *Dispatcher) respondKeyReused(now ids.Time, j *job) {
	d.respond(now, j, Response{Class: ClientError, Status: statusUnprocessableEntity, Reason: reasonKeyReused})
}

// waitForOwner makes a job wait until the attempt that holds the claim completes. If the run
// that owns the claim has ended, the claim will never be completed and the response is Unknown.
func (d *Dispatcher) waitForOwner(now ids.Time, j *job, owner idempotency.Owner) {
	d.releaseSlot(now, j)
	if owner.Daemon != d.Self.Daemon && d.service.RunEnded != nil && d.service.RunEnded(owner.Daemon, owner.RunID) {
		d.respondUnknown(now, j, statusGatewayTimeout, reasonOwnerEnded)
		return
	}
	if owner.Daemon == d.Self.Daemon && owner.RunID != d.Self.RunID {
		d.respondUnknown(now, j, statusGatewayTimeout, reasonOwnerRestarted)
		return
	}
	j.state, j.recheckAt = waitingForOwner, now.Add(ownerPollInterval)
	// Invalidates replies to the job's earlier calls.
	j.sequence++
}

// lostResponse is stored in place of a response that will never be known. It can't be
// distinguished from a target's response with this status whose body was too large to store.
var lostResponse = idempotency.Response{Status: statusGatewayTimeout, BodyOmitted: true}

// isLostResponse reports whether a stored response represents an unknown one. A response
// without a status does too, as none was stored.
func isLostResponse(stored idempotency.Response) bool {
	return stored.Status == 0 || stored.Status == lostResponse.Status && stored.BodyOmitted
}

// replay responds with the stored outcome of an earlier attempt.
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
