package idempotency

import "slices"

// verdictForHeldKey returns the verdict for a claimed or completed record. It returns false if
// the record is unclaimed.
func verdictForHeldKey(r Record, op Operation) (Verdict, bool) {
	switch {
	case r.State == Unclaimed:
		return 0, false
	case !slices.Equal(r.Fingerprint, op.Fingerprint):
		return FingerprintMismatch, true
	case r.State == Completed:
		return AlreadyCompleted, true
	case r.isClaimedBy(op.Owner):
		return Granted, true
	case r.State == Claimed:
		return InProgress, true
	}
	return 0, false
}

func claim(r Record, op Operation) (Record, Verdict) {
	if verdict, held := verdictForHeldKey(r, op); held {
		return r, verdict
	}
	// A delayed message must not reacquire a released claim.
	if op.Attempt < r.MinAttempt || slices.Contains(r.ReleasedOwners, op.Owner) {
		return r, AttemptBlocked
	}
	r.State, r.Owner, r.Attempt, r.Fingerprint = Claimed, op.Owner, op.Attempt, op.Fingerprint
	return r, Granted
}

// block prevents the calling attempt and all earlier ones from running, including attempts that
// are still queued in another proxy. If the verdict is Released, the caller may tell its client
// that the request definitely didn't run.
func block(r Record, op Operation) (Record, Verdict) {
	// A caller that holds the claim hasn't sent the request.
	if r.isClaimedBy(op.Owner) {
		r.dropClaim()
	}
	if verdict, held := verdictForHeldKey(r, op); held {
		return r, verdict
	}
	r.MinAttempt = max(r.MinAttempt, op.Attempt)
	r.addReleasedOwner(op.Owner)
	return r, Released
}

// release releases a claim whose request was definitely not sent.
func release(r Record, op Operation) (Record, Verdict) {
	if r.isClaimedBy(op.Owner) {
		r.dropClaim()
	}
	if r.State == Unclaimed {
		r.addReleasedOwner(op.Owner)
	}
	return r, Released
}

// numberAttempt assigns the next number to an attempt that its client didn't number. Numbers
// follow the order of consensus. Running it again skips a number, which is harmless.
func numberAttempt(r Record, op Operation) (Record, Verdict) {
	if verdict, held := verdictForHeldKey(r, op); held {
		return r, verdict
	}
	r.LastAssignedAttempt = max(r.LastAssignedAttempt, r.MinAttempt) + 1
	return r, Released
}

// complete records the response if the caller holds the claim. Otherwise it changes nothing and
// returns the same verdict, since the caller has a response for its client either way.
func complete(r Record, op Operation) (Record, Verdict) {
	if r.isClaimedBy(op.Owner) {
		r.State, r.Response = Completed, op.Response
	}
	return r, AlreadyCompleted
}
