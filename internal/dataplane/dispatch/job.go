package dispatch

import (
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/idempotency"
)

type jobState uint8

const (
	readingRecord jobState = iota + 1
	registeringAttempt
	waitingForOwner
	queued
	claimingKey
	forwarding
	storingOutcome
	blockingAttempts
)

type job struct {
	Job
	state          jobState
	sequence       uint32
	failedAttempts int
	// timesSent counts the targets that it was sent to.
	timesSent    int
	target       ids.InstanceID
	triedTargets map[ids.InstanceID]bool
	// claimed: a claim was asked for and may stand.
	claimRequested bool
	// counted: this request has been counted towards the retry budget.
	budgetCounted bool
	budgetEarned  bool
	recheckAt     ids.Time
	queuedAt      ids.Time
	forwardedAt   ids.Time
	rejectReason  string
	// late: its goal was past reach as it came.
	goalUnreachable bool
	response        idempotency.Response
}

// hasIdempotencyRecord tells whether a register keeps the job to one run.
func (j *job) hasIdempotencyRecord() bool { return !j.Repeatable && !j.AtMostOnce }

func (d *Dispatcher) onRequestArrived(now ids.Time, request Job) {
	j := &job{Job: request, triedTargets: map[ids.InstanceID]bool{}}
	d.jobs[request.ID] = j
	d.checkGoalReachable(now, j)
	d.Counters.Arrived++
	switch {
	case j.Attempt > 0:
	case j.Repeatable, j.AtMostOnce:
		j.Attempt = 1
	default:
		// Without a number of its own, this attempt could not be told from
		// the ones that it must be fenced against.
		d.callIdempotency(now, j, idempotency.OpNumberAttempt, registeringAttempt, 2*time.Second)
		return
	}
	// A repeat may find that it has run: that comes before any reject.
	if j.hasIdempotencyRecord() && j.Attempt > 1 {
		d.readRecord(now, j)
		return
	}
	d.admit(now, j)
}
