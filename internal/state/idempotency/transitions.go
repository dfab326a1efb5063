package idempotency

import "slices"

// verdictForHeldKey returns the verdict for a record that is claimed or completed, and
// false for an unclaimed one.
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
	// A released claim must not be claimed again by a message that arrives late.
	if op.Attempt < r.MinAttempt || slices.Contains(r.ReleasedOwners, op.Owner) {
		return r, AttemptBlocked
	}
	r.State, r.Owner, r.Attempt, r.Fingerprint = Claimed, op.Owner, op.Attempt, op.Fingerprint
	return r, Granted
}

// block is called by a later attempt before its client is told that the request surely
// didn't run. From then on no earlier attempt may run, though it may still wait in
// another proxy.
func block(r Record, op Operation) (Record, Verdict) {
	// The request of the caller's own claim was never sent.
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

// release gives up a claim whose request was surely not sent.
func release(r Record, op Operation) (Record, Verdict) {
	if r.isClaimedBy(op.Owner) {
		r.dropClaim()
	}
	if r.State == Unclaimed {
		r.addReleasedOwner(op.Owner)
	}
	return r, Released
}

// numberAttempt numbers an attempt whose client gave it no number, in the order of
// agreement. Run again it skips a number, which does no harm.
func numberAttempt(r Record, op Operation) (Record, Verdict) {
	if verdict, held := verdictForHeldKey(r, op); held {
		return r, verdict
	}
	r.NumberedAttempts = max(r.NumberedAttempts, r.MinAttempt) + 1
	return r, Released
}

// complete records the response if the claim is the caller's. Otherwise it changes nothing,
// and its caller, who already has a response for its client, needn't know.
func complete(r Record, op Operation) (Record, Verdict) {
	if r.isClaimedBy(op.Owner) {
		r.State, r.Response = Completed, op.Response
	}
	return r, AlreadyCompleted
}
