package dispatch

// The reasons of responses that the dispatcher generates. Clients receive them in the
// response body and operators see them as counts (TakeFailureReasons), so the texts are stable.

// The reasons of rejected requests, which are known not to have run.
const (
	// reasonNoTarget: no available target has a slot for this proxy.
	reasonNoTarget = "no target takes work now"
	// reasonNoSlotInTime: no slot is expected to be free within the request's queue wait limit.
	reasonNoSlotInTime = "no place in the time left"
	// reasonQueueFull: the queue is over its limit and the request is the least urgent one.
	reasonQueueFull = "too much work"
	// reasonDeadlineExceeded: the deadline passed while the idempotency key was being claimed.
	reasonDeadlineExceeded = "no time left"
	// reasonClaimTimeout: the outcome of the claim of the idempotency key is unknown.
	reasonClaimTimeout = "the mark couldn't be claimed in time"
	// reasonNotCurrent: the service state isn't current, or the process was paused.
	reasonNotCurrent = "this proxy is not in step"
	// reasonPaused: like reasonNotCurrent, detected when the claim was granted.
	reasonPaused = "this proxy was paused"
	// reasonLeaseExpired: the lease on the service state has expired.
	reasonLeaseExpired = "no majority has confirmed of late what this proxy goes by"
	// reasonZoneDrained: the proxy's own zone is drained.
	reasonZoneDrained = "this cell is emptied; ask where to go"
	// reasonRouteChanged: the rules of the route changed while the request waited.
	reasonRouteChanged = "its route was changed meanwhile"
	// reasonRetryBudgetExhausted: the retry budget is too low for a retry by the client.
	reasonRetryBudgetExhausted = "the budget for repeated requests is used up"
	// reasonUnreachable: several attempts ended without a byte sent to a target.
	reasonUnreachable = "no target could be reached"
	// reasonNotExecuted: a target stated that it hasn't run the request, and no further
	// retry is allowed.
	reasonNotExecuted = "targets turned it away"
	// reasonClientDisconnected: the client disconnected. Also used for requests of class
	// Unknown, whose canceled or earlier attempt may have run.
	reasonClientDisconnected = "client disconnected"
	// reasonSuperseded: a later attempt was rejected and has blocked this one.
	reasonSuperseded = "given up in favour of a later attempt"
)

// The reasons of requests that may have run.
const (
	// reasonMayHaveRun: bytes were sent, no complete response was received, and the request
	// isn't repeatable.
	reasonMayHaveRun = "may have run"
	// reasonRetriesExhausted: like reasonMayHaveRun, for a repeatable request whose retries
	// failed or that may not be retried again.
	reasonRetriesExhausted = "given up"
	// reasonStillRunning: another attempt didn't complete before the deadline.
	reasonStillRunning = "another attempt is still running"
	// reasonMayStillRun: another attempt holds the claim and can't be blocked.
	reasonMayStillRun = "another attempt may still run"
	// reasonRecordUnreadable: the record of the idempotency key couldn't be read.
	reasonRecordUnreadable = "an earlier attempt may have run; its mark can't be read now"
	// reasonRecordsLost: the key has no record, and the stores lost records recently.
	reasonRecordsLost = "an earlier attempt may have run; marks were lost of late"
	// reasonOwnerEnded: the claim is held by an ended run of another proxy.
	reasonOwnerEnded = "may have run; the proxy that had it is gone"
	// reasonOwnerRestarted: the claim is held by an earlier run of this proxy.
	reasonOwnerRestarted = "may have run; this proxy was restarted meanwhile"
	// reasonResponseLost: the response of an earlier attempt is unknown.
	reasonResponseLost = "may have run; its answer was lost"
	// suffixBlockUnknown is appended to the reason of a rejection if blocking the earlier
	// attempts has an unknown outcome.
	suffixBlockUnknown = "; whether an earlier attempt ran isn't known"
)

// The reasons of other responses.
const (
	// reasonKeyReused: the idempotency key was used with another fingerprint.
	reasonKeyReused = "this mark was used for another method, path or body"
	// reasonBodyOmitted: the response of an earlier attempt was stored without its body.
	reasonBodyOmitted = "it ran; the answer was too large to keep"
)
