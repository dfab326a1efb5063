package dispatch

import (
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/idempotency"
)

// jobState is what a request waits for.
type jobState uint8

const (
	// readingRecord waits for the record of the idempotency key, as an earlier attempt
	// may have completed.
	readingRecord jobState = iota + 1
	// numberingAttempt waits for the register to number an attempt that its client didn't.
	numberingAttempt
	// waitingForOwner waits for another attempt, whose claim stands, to complete.
	waitingForOwner
	// queued waits for a free slot at a target.
	queued
	// claimingKey holds a slot and waits for the claim of the idempotency key.
	claimingKey
	// forwarding waits for the target.
	forwarding
	// storingOutcome has the response and waits until it is stored under the key.
	storingOutcome
	// blockingAttempts is about to be rejected, and waits until earlier attempts are
	// blocked from running after that.
	blockingAttempts
)

// The time-outs of calls to the register of an idempotency key; but for
// backgroundTimeout, calls end at the request's deadline at the latest.
const (
	// registerTimeout bounds calls without whose reply the request can't go on.
	registerTimeout = 2 * time.Second
	// responseHeldTimeout bounds calls that hold back a response which is known already.
	responseHeldTimeout = 500 * time.Millisecond
	// backgroundTimeout bounds calls whose reply nobody waits for.
	backgroundTimeout = 10 * time.Second
	// minRegisterTimeout is given to each call, also where less time is left to the request.
	minRegisterTimeout = 50 * time.Millisecond
	// ownerPollInterval is how often a request that waits for another attempt reads the record.
	ownerPollInterval = 100 * time.Millisecond
)

// job is a request waiting or in flight.
type job struct {
	Job
	state jobState
	// sequence numbers the commands whose reply is awaited. Replies with another number
	// are late ones, and ignored.
	sequence uint32
	// failedAttempts counts attempts that were not sent, and those after which a retry
	// was considered (takeRetry), a TargetFailed response among them.
	failedAttempts int
	// timesSent counts attempts of which bytes left this proxy. It is raised with the
	// Forward, and lowered again if that turns out as NotSent.
	timesSent int
	// target is where the job holds a slot; empty for none.
	target       ids.InstanceID
	triedTargets map[ids.InstanceID]bool
	// claimRequested is set once a claim was asked for, which may stand since.
	claimRequested bool
	// budgetCounted is set once the request has been counted by the retry budget, and
	// budgetEarned if that was as a deposit. Both are reset when no byte left, and the
	// deposit is cancelled.
	budgetCounted bool
	budgetEarned  bool
	// recheckAt is when a job waiting for another attempt reads the record again.
	recheckAt ids.Time
	// queuedAt is when the job entered the queue for the first time.
	queuedAt    ids.Time
	forwardedAt ids.Time
	// rejectReason is kept while earlier attempts are being blocked.
	rejectReason string
	// goalUnreachable is set if the latency goal was out of reach at arrival.
	goalUnreachable bool
	// clientDisconnected is set once the client has gone, and cancelRequested if its
	// attempt was canceled for that.
	clientDisconnected bool
	cancelRequested    bool
	// response is what is stored under the idempotency key.
	response idempotency.Response
}

// requiresIdempotencyKey tells whether the request runs once by a claim of its idempotency
// key, in a replicated register. The proxy has rejected it if it came without a key.
func (j *job) requiresIdempotencyKey() bool { return !j.Repeatable && !j.AtMostOnce }

// onRequestArrived takes in a new request. One with an idempotency key that may be a
// later attempt first learns whether an earlier one completed: a stored response comes
// before any rejection. Of an attempt that the client numbered 1 nothing is read before
// the claim.
func (d *Dispatcher) onRequestArrived(now ids.Time, request Job) {
	j := &job{Job: request, triedTargets: map[ids.InstanceID]bool{}}
	d.jobs[request.ID] = j
	d.checkGoalReachable(now, j)
	d.Counters.Arrived++
	if j.Attempt == 0 {
		if j.requiresIdempotencyKey() {
			// Without a number, this attempt couldn't be told from those that it
			// must be fenced against.
			d.callIdempotency(now, j, idempotency.OpNumberAttempt, numberingAttempt, registerTimeout)
			return
		}
		j.Attempt = 1
	}
	if j.requiresIdempotencyKey() && j.Attempt > 1 {
		d.readRecord(now, j)
		return
	}
	d.admit(now, j)
}
