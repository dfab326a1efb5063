package dispatch

import (
	"bytes"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/consensus"
	"dunlinwell/internal/state/idempotency"
)

// request asks for an operation on the job's mark.
func (d *Dispatcher) callIdempotency(now ids.Time, j *job, op consensus.Op, state jobState, timeout time.Duration) {
	j.state = state
	j.sequence++
	d.Emit(IdempotencyCall{ID: j.ID, Sequence: j.sequence, Key: idempotency.RegisterKey(j.Route, j.IdempotencyKey), Op: op, Operation: d.idempotencyOperation(j), Timeout: min(timeout, max(j.Deadline.Sub(now), 50*time.Millisecond))})
}

func (d *Dispatcher) idempotencyOperation(j *job) idempotency.Operation {
	owner := d.Self
	owner.Request = j.ID
	return idempotency.Operation{Owner: owner, Attempt: j.Attempt, Fingerprint: j.Fingerprint, Response: truncateForStorage(j.response)}
}

// maxStoredBody bounds the body that is kept with an outcome. Beyond it a repeat
// learns that it ran, and the digest, but not the answer.
const maxStoredBody = 64 << 10

func truncateForStorage(response idempotency.Response) idempotency.Response {
	if len(response.Body) > maxStoredBody {
		return idempotency.Response{Status: response.Status, Digest: response.Digest, BodyOmitted: true}
	}
	return response
}

func (d *Dispatcher) readRecord(now ids.Time, j *job) {
	d.callIdempotency(now, j, consensus.Read, readingRecord, 2*time.Second)
}

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

func (d *Dispatcher) onOutcomeStored(now ids.Time, j *job) {
	d.respond(now, j, Response{Class: Answered, Status: int(j.response.Status), TargetResponse: j.response})
}

// replay answers with the outcome of the run that there was.
func (d *Dispatcher) replay(now ids.Time, j *job, stored idempotency.Response) {
	d.Counters.Replayed++
	switch {
	case stored.Status == 0 || stored.Status == 504 && stored.BodyOmitted:
		d.respondUnknown(now, j, 504, "may have run; its answer was lost")
	case stored.BodyOmitted:
		d.respond(now, j, Response{Class: Answered, Status: 200, Reason: "it ran; the answer was too large to keep", TargetResponse: stored})
	default:
		d.respond(now, j, Response{Class: Answered, Status: int(stored.Status), TargetResponse: stored})
	}
}
