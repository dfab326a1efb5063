package dispatch

import "dunlinwell/internal/base/ids"

// onClientDisconnected abandons a request whose client has disconnected. The request isn't
// forwarded any more (blockedReason), and a running attempt is canceled if the request is
// repeatable or hasn't been sent. A sent request that isn't repeatable continues: canceling it
// would leave its outcome unknown, and a later attempt may ask for it.
//
// Pending replies to claims, blocks and stored outcomes are still processed, so that a claim is
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
		// Earlier attempts may have run. This one holds neither a slot nor a claim.
		d.respondUnknown(now, j, statusGatewayTimeout, reasonClientDisconnected)
	case forwarding:
		j.cancelRequested = true
		d.Emit(CancelForward{ID: j.ID, Sequence: j.sequence, EvenIfSent: j.Repeatable})
	}
}

// isCanceled reports whether a job's attempt ended because it was canceled, in which case the
// result says nothing about the target's health. Other results aren't due to the cancellation.
func (j *job) isCanceled(result AttemptResult) bool {
	return j.cancelRequested && (result == NotSent || result == MayHaveRun && j.Repeatable)
}
