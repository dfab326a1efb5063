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
	// numberingAttempt waits for the register to assign the number of an attempt.
	numberingAttempt
	// waitingForOwner waits for the attempt that holds the claim to complete.
	waitingForOwner
	// queued waits for a free slot at a target.
	queued
	// claimingKey holds a slot and waits for the claim of the idempotency key.
	claimingKey
	// forwarding waits for the target's response.
	forwarding
	// storingOutcome has a response and waits until it is stored under the key.
	storingOutcome
	// blockingAttempts waits until earlier attempts are blocked, before the job is rejected.
	blockingAttempts
)

// Timeouts of calls to the register of an idempotency key. All but backgroundTimeout are
// limited by the request's deadline, but not below minRegisterTimeout.
const (
	// registerTimeout is the timeout of calls whose reply the request needs to proceed.
	registerTimeout = 2 * time.Second
	// responseHeldTimeout is the timeout of calls that delay a response already known.
	responseHeldTimeout = 500 * time.Millisecond
	// backgroundTimeout is the timeout of calls whose reply isn't needed.
	backgroundTimeout = 10 * time.Second
	// minRegisterTimeout is the shortest timeout of a call, even close to the deadline.
	minRegisterTimeout = 50 * time.Millisecond
	// ownerPollInterval is how often a request waiting for another attempt reads the record.
	ownerPollInterval = 100 * time.Millisecond
)

// job is a request waiting or in flight.
type job struct {
	Job
	state jobState
	// sequence is the number of the latest command that expects a reply. Replies with
	// another number are stale and ignored.
	sequence uint32
	// failedAttempts counts unsent attempts and those after which a retry was considered
	// (takeRetry), including TargetFailed responses.
	failedAttempts int
	// sentAttempts counts attempts of which bytes were sent. It is incremented with each
	// Forward, and decremented if the result is NotSent.
	sentAttempts int
	// mayHaveRun is set once an attempt may have run. The job can't be rejected any more.
	mayHaveRun bool
	// target is the target at which the job holds a slot; empty for none.
	target       ids.InstanceID
	triedTargets map[ids.InstanceID]bool
	// claimRequested is set once a claim was requested, so the job may hold it.
	claimRequested bool
	// budgetCounted is set once the request was counted in the retry budget, and
	// budgetDeposited if it was counted as a deposit. Both are reset if the request made a
	// deposit but wasn't sent.
	budgetCounted   bool
	budgetDeposited bool
	// recheckAt is when a job in state waitingForOwner reads the record again.
	recheckAt ids.Time
	// queuedAt is when the job was first queued.
	queuedAt    ids.Time
	forwardedAt ids.Time
	// rejectReason is the reason to report once earlier attempts are blocked.
	rejectReason string
	// goalUnreachable is set if the latency goal was out of reach at arrival.
	goalUnreachable bool
	// clientDisconnected is set once the client has disconnected, and cancelRequested if
	// the running attempt was canceled for that reason.
	clientDisconnected bool
	cancelRequested    bool
	// response is the response to store under the idempotency key.
	response idempotency.Response
}

// requiresIdempotencyKey reports whether the request may run only under a claim of its
// idempotency key in a replicated register. The proxy rejects such requests without a key.
func (j *job) requiresIdempotencyKey() bool { return !j.Repeatable && !j.AtMostOnce }

// onRequestArrived starts handling a new request. If a request with an idempotency key may
// be a later attempt, the record is read first: a stored response takes precedence over any
// rejection. An attempt that the client numbered 1 reads nothing before its claim.
func (d *Dispatcher) onRequestArrived(now ids.Time, request Job) {
	j := &job{Job: request, triedTargets: map[ids.InstanceID]bool{}}
	d.jobs[request.ID] = j
	d.checkGoalReachable(now, j)
	d.Counters.Arrived++
	if j.Attempt == 0 {
		if j.requiresIdempotencyKey() {
			// Without a number, this attempt couldn't be distinguished from the earlier
			// ones that it must block.
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
