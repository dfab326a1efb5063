package dispatch

// The reasons of responses that aren't a target's own. Clients get them in the body of
// the response, and operators as counts (TakeFailureReasons), so their text is stable.
// Where two parts are joined with a colon, the first is what is counted.
const (
	reasonNoTarget       = "no target takes work now"
	reasonNoSlotInTime   = "no place in the time left"
	reasonQueueFull      = "too much work"
	reasonNoTimeLeft     = "no time left"
	reasonNotCurrent     = "this proxy is not in step"
	reasonPaused         = "this proxy was paused"
	reasonLeaseExpired   = "no majority has confirmed of late what this proxy goes by"
	reasonZoneDrained    = "this cell is emptied; ask where to go"
	reasonRouteChanged   = "its route was changed meanwhile"
	reasonBudgetSpent    = "the budget for repeated requests is used up"
	reasonUnreachable    = "no target could be reached"
	reasonNotExecuted    = "targets turned it away"
	reasonRetriesEnded   = "given up"
	reasonMayHaveRun     = "may have run"
	reasonSuperseded     = "given up in favour of a later attempt"
	reasonClaimTimeout   = "the mark couldn't be claimed in time"
	reasonKeyReused      = "this mark was used for another method, path or body"
	reasonStillRunning   = "another attempt is still running"
	reasonMayStillRun    = "another attempt may still run"
	reasonRecordNotRead  = "an earlier attempt may have run; its mark can't be read now"
	reasonRecordsLost    = "an earlier attempt may have run; marks were lost of late"
	reasonOwnerGone      = "may have run; the proxy that had it is gone"
	reasonOwnerRestarted = "may have run; this proxy was restarted meanwhile"
	reasonResponseLost   = "may have run; its answer was lost"
	reasonBodyOmitted    = "it ran; the answer was too large to keep"
	// suffixBlockUnknown is appended to the reason of a rejection that can't be confirmed.
	suffixBlockUnknown = "; whether an earlier attempt ran isn't known"
)
