package dispatch

import "dunlinwell/internal/base/ids"

// onClientDisconnected gives up a request whose client has gone: from here on nothing of it
// is sent any more (blockedReason), and a target's work on it is ended if it may be
// repeated. Work that may not be repeated goes on: ending it would leave open whether it
// ran, and the client, or the next one, may ask for its outcome.
//
// A reply of the idempotency register that is awaited is still awaited, so that a claim is
// either used or released.
func (d *Dispatcher) onClientDisconnected(now ids.Time, id ids.RequestID) {
	j := d.jobs[id]
	if j == nil || j.clientDisconnected {
		return
	}
	j.clientDisconnected = true
	d.Counters.ClientDisconnects++
	switch j.state {
	case queued:
		d.removeFromQueue(j)
		d.reject(now, j, reasonClientDisconnected)
	case readingRecord, numberingAttempt, waitingForOwner:
		// Earlier attempts may have run; this one holds neither a slot nor a claim.
		d.respondUnknown(now, j, statusGatewayTimeout, reasonClientDisconnected)
	case forwarding:
		j.cancelRequested = true
		d.Emit(CancelForward{ID: j.ID, Sequence: j.sequence, EvenIfSent: j.Repeatable})
	}
}

// isCanceled tells whether a job's attempt ended because it was canceled. That says nothing
// of its target. Any other result came before the cancellation, or in spite of it.
func (j *job) isCanceled(result AttemptResult) bool {
	return j.cancelRequested && (result == NotSent || result == MayHaveRun && j.Repeatable)
}
