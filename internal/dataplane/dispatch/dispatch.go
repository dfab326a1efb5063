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

type phase uint8

const (
	looking phase = iota + 1
	entering
	waiting
	inQueue
	claiming
	forwarding
	settling
	barring
)

type job struct {
	Job
	phase phase
	turn  uint32
	tries int
	// sends counts the targets that it was sent to.
	sends  int
	target ids.InstanceID
	avoid  map[ids.InstanceID]bool
	// claimed: a claim was asked for and may stand.
	claimed bool
	// counted: this request has been counted towards the retry budget.
	counted bool
	earned  bool
	again   ids.Time
	since   ids.Time
	placed  ids.Time
	why     string
	// late: its goal was past reach as it came.
	late     bool
	response idempotency.Response
}

// marked tells whether a register keeps the job to one run.
func (j *job) marked() bool { return !j.Repeatable && !j.Single }

// Options are the options of a dispatcher.
type Options struct {
	Self   idempotency.Owner
	Random *rand.Rand
	Queue  int
}

// Dispatcher is the machine for one service at one proxy. Its owner holds a short
// lock around Step, and carries the commands out after letting go of it.
type Dispatcher struct {
	event.Outbox
	Options
	stock ServiceState
	lease ids.Time
	jobs  map[ids.RequestID]*job
	queue []*job
	spots map[ids.InstanceID]*spot
	// list is the spots in order, and best is used anew by each choice.
	list   []*spot
	best   []*spot
	budget budget
	whole  map[ids.Name]time.Duration
	mean   time.Duration
	last   ids.Time
	Tally  Counters
	// reasons count why requests got no answer of a target.
	reasons map[string]int
}

// Counters counts what the dispatcher did, for reports and pages.
type Counters struct {
	Arrived, Rejected, Unknown, Answered, Forwarded, Retried, Repeats uint64
	// Region and Far count those of Forwarded that left their zone, and region.
	Region, Far uint64
}

// New makes a dispatcher with nothing to hand.
func New(p Options) *Dispatcher {
	if p.Queue == 0 {
		p.Queue = 128
	}
	return &Dispatcher{Options: p, jobs: map[ids.RequestID]*job{}, spots: map[ids.InstanceID]*spot{}, whole: map[ids.Name]time.Duration{}, mean: 20 * time.Millisecond}
}

// Step is the machine's one entrance.
func (d *Dispatcher) Step(now ids.Time, ev event.Event) []event.Command {
	switch e := ev.(type) {
	case RequestArrived:
		d.arrive(now, e.Job)
	case IdempotencyReply:
		d.told(now, e)
	case AttemptFinished:
		d.back(now, e)
	case ServiceState:
		d.restock(now, e)
	case Lease:
		d.lease = e.Until
	case event.Tick:
		d.clock(now)
	}
	return d.Drain()
}

// Waiting counts the requests in the queue.
func (d *Dispatcher) Waiting() int { return len(d.queue) }

// Busy counts the requests in hand.
func (d *Dispatcher) Busy() int { return len(d.jobs) }

func (d *Dispatcher) arrive(now ids.Time, in Job) {
	j := &job{Job: in, avoid: map[ids.InstanceID]bool{}}
	d.jobs[in.ID] = j
	d.age(now, j)
	d.Tally.Arrived++
	switch {
	case j.Attempt > 0:
	case j.Repeatable, j.Single:
		j.Attempt = 1
	default:
		// Without a number of its own, this attempt could not be told from
		// the ones that it must be fenced against.
		d.wish(now, j, idempotency.OpNumberAttempt, entering, 2*time.Second)
		return
	}
	// A repeat may find that it has run: that comes before any reject.
	if j.marked() && j.Attempt > 1 {
		d.look(now, j)
		return
	}
	d.admit(now, j)
}

// request asks for an operation on the job's mark.
func (d *Dispatcher) wish(now ids.Time, j *job, op consensus.Op, p phase, wait time.Duration) {
	j.phase = p
	j.turn++
	d.Emit(IdempotencyCall{ID: j.ID, Turn: j.turn, Key: idempotency.RegisterKey(j.Route, j.IdempotencyKey), Op: op, Operation: d.words(j), Wait: min(wait, max(j.Deadline.Sub(now), 50*time.Millisecond))})
}

func (d *Dispatcher) words(j *job) idempotency.Operation {
	o := d.Self
	o.Request = j.ID
	return idempotency.Operation{Owner: o, Attempt: j.Attempt, Fingerprint: j.Fingerprint, Response: kept(j.response)}
}

// mostKept bounds the body that is kept with an outcome. Beyond it a repeat
// learns that it ran, and the digest, but not the answer.
const mostKept = 64 << 10

func kept(a idempotency.Response) idempotency.Response {
	if len(a.Body) > mostKept {
		return idempotency.Response{Status: a.Status, Digest: a.Digest, BodyOmitted: true}
	}
	return a
}

func (d *Dispatcher) look(now ids.Time, j *job) {
	d.wish(now, j, consensus.Read, looking, 2*time.Second)
}
