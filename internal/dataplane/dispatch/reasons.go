package dispatch

// The reasons of responses that aren't a target's own. Clients get them in the body of the
// response, and operators as counts (TakeFailureReasons), so their text is stable.

// The reasons of requests that are rejected, as they have surely not run.
const (
	// reasonNoTarget: no target of the service is available and has a slot for this proxy.
	reasonNoTarget = "no target takes work now"
	// reasonNoSlotInTime: a slot isn't expected within the time that the request may wait.
	reasonNoSlotInTime = "no place in the time left"
	// reasonQueueFull: the queue is over its limit, and the request is the least urgent.
	reasonQueueFull = "too much work"
	// reasonNoTimeLeft: the deadline passed while the idempotency key was being claimed.
	reasonNoTimeLeft = "no time left"
	// reasonClaimTimeout: the claim of the idempotency key isn't known to be chosen.
	reasonClaimTimeout = "the mark couldn't be claimed in time"
	// reasonNotCurrent: the service state isn't current, or the process was frozen.
	reasonNotCurrent = "this proxy is not in step"
	// reasonFrozen: the same, when the claim was granted.
	reasonFrozen = "this proxy was paused"
	// reasonLeaseExpired: the lease on the service state has expired.
	reasonLeaseExpired = "no majority has confirmed of late what this proxy goes by"
	// reasonZoneDrained: the proxy's own zone is drained.
	reasonZoneDrained = "this cell is emptied; ask where to go"
	// reasonRouteChanged: the rules of the route changed while the request waited.
	reasonRouteChanged = "its route was changed meanwhile"
	// reasonBudgetSpent: a client's own retry found the retry budget empty.
	reasonBudgetSpent = "the budget for repeated requests is used up"
	// reasonUnreachable: no byte could be sent to any of several targets.
	reasonUnreachable = "no target could be reached"
	// reasonNotExecuted: targets stated not to have run the request, and it may not be
	// sent to another.
	reasonNotExecuted = "targets turned it away"
	// reasonClientDisconnected: the client has gone, and the request wasn't sent. It is
	// also the reason of a request whose attempt was ended for that, and may have run.
	reasonClientDisconnected = "client disconnected"
	// reasonSuperseded: a later attempt was rejected, and has blocked this one.
	reasonSuperseded = "given up in favour of a later attempt"
)

// The reasons of requests that may have run.
const (
	// reasonMayHaveRun: bytes left, no complete response came, and it may not be sent again.
	reasonMayHaveRun = "may have run"
	// reasonRetriesEnded: the same for a repeatable request that was retried in vain, or
	// may not be retried.
	reasonRetriesEnded = "given up"
	// reasonStillRunning: another attempt hasn't completed before the deadline.
	reasonStillRunning = "another attempt is still running"
	// reasonMayStillRun: another attempt can't be blocked, as it holds the claim.
	reasonMayStillRun = "another attempt may still run"
	// reasonRecordNotRead: the record of the idempotency key couldn't be read.
	reasonRecordNotRead = "an earlier attempt may have run; its mark can't be read now"
	// reasonRecordsLost: the key has no record, and the stores lost records recently.
	reasonRecordsLost = "an earlier attempt may have run; marks were lost of late"
	// reasonOwnerGone: the run of another proxy that holds the claim has ended.
	reasonOwnerGone = "may have run; the proxy that had it is gone"
	// reasonOwnerRestarted: an earlier run of this proxy holds the claim.
	reasonOwnerRestarted = "may have run; this proxy was restarted meanwhile"
	// reasonResponseLost: an earlier attempt ended without a known response.
	reasonResponseLost = "may have run; its answer was lost"
	// suffixBlockUnknown follows the reason of a rejection of which it isn't known whether
	// earlier attempts are blocked.
	suffixBlockUnknown = "; whether an earlier attempt ran isn't known"
)

// The reasons of other responses.
const (
	// reasonKeyReused: the idempotency key was used with another fingerprint.
	reasonKeyReused = "this mark was used for another method, path or body"
	// reasonBodyOmitted: the stored response of an earlier attempt has no body.
	reasonBodyOmitted = "it ran; the answer was too large to keep"
)
