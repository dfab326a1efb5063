// Package dispatcher takes a request through a proxy: it waits for a place at a
// target, claims its mark if it may not be repeated, is forwarded once, and is
// answered as rejected, unknown or answered, never as two of them.
package dispatch

import (
	"math/rand/v2"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/consensus"
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

// Options are the options of a dispatcher.
type Options struct {
	Self       idempotency.Owner
	Random     *rand.Rand
	QueueLimit int
}

// Dispatcher is the machine for one service at one proxy. Its owner holds a short
// lock around Step, and carries the commands out after letting go of it.
type Dispatcher struct {
	event.Outbox
	Options
	service        ServiceState
	leaseExpiresAt ids.Time
	jobs           map[ids.RequestID]*job
	queue          []*job
	endpoints      map[ids.InstanceID]*endpoint
	// sortedEndpoints is the spots in order, and best is used anew by each choice.
	sortedEndpoints  []*endpoint
	candidates       []*endpoint
	retryBudget      retryBudget
	longestTimeout   map[ids.Name]time.Duration
	meanResponseTime time.Duration
	lastTickAt       ids.Time
	Counters         Counters
	// failureReasons count why requests got no answer of a target.
	failureReasons map[string]int
}

// Counters counts what the dispatcher did, for reports and pages.
type Counters struct {
	Arrived, Rejected, Unknown, Answered, Forwarded, Retried, Replayed uint64
	// CrossZone and Far count those of Forwarded that left their zone, and region.
	CrossZone, CrossRegion uint64
}

// New makes a dispatcher with nothing to hand.
func New(options Options) *Dispatcher {
	if options.QueueLimit == 0 {
		options.QueueLimit = 128
	}
	return &Dispatcher{Options: options, jobs: map[ids.RequestID]*job{}, endpoints: map[ids.InstanceID]*endpoint{}, longestTimeout: map[ids.Name]time.Duration{}, meanResponseTime: 20 * time.Millisecond}
}

// Step is the machine's one entrance.
func (d *Dispatcher) Step(now ids.Time, ev event.Event) []event.Command {
	switch e := ev.(type) {
	case RequestArrived:
		d.onRequestArrived(now, e.Job)
	case IdempotencyReply:
		d.onIdempotencyReply(now, e)
	case AttemptFinished:
		d.onAttemptFinished(now, e)
	case ServiceState:
		d.onServiceState(now, e)
	case LeaseUpdated:
		d.leaseExpiresAt = e.ExpiresAt
	case event.Tick:
		d.onTick(now)
	}
	return d.Drain()
}

// QueueLength counts the requests in the queue.
func (d *Dispatcher) QueueLength() int { return len(d.queue) }

// JobCount counts the requests in hand.
func (d *Dispatcher) JobCount() int { return len(d.jobs) }

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

// request asks for an operation on the job's mark.
func (d *Dispatcher) callIdempotency(now ids.Time, j *job, op consensus.Op, state jobState, timeout time.Duration) {
	j.state = state
	j.sequence++
	d.Emit(IdempotencyCall{ID: j.ID, Sequence: j.sequence, Key: idempotency.RegisterKey(j.Route, j.IdempotencyKey), Op: op, Operation: d.idempotencyOperation(j), Timeout: min(timeout, max(j.Deadline.Sub(now), 50*time.Millisecond))})
}

func (d *Dispatcher) idempotencyOperation(j *job) idempotency.Operation {
	owner := d.Self
	owner.Request = j.ID
	return idempotency.Operation{Owner: owner, Attempt: j.Attempt, Fingerprint: j.Fingerprint, Response: truncateForStorage(j.response)}
}

// maxStoredBody bounds the body that is kept with an outcome. Beyond it a repeat
// learns that it ran, and the digest, but not the answer.
const maxStoredBody = 64 << 10

func truncateForStorage(response idempotency.Response) idempotency.Response {
	if len(response.Body) > maxStoredBody {
		return idempotency.Response{Status: response.Status, Digest: response.Digest, BodyOmitted: true}
	}
	return response
}

func (d *Dispatcher) readRecord(now ids.Time, j *job) {
	d.callIdempotency(now, j, consensus.Read, readingRecord, 2*time.Second)
}
