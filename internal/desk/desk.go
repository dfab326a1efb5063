// Package desk takes a request through a counter: it waits for a place at a
// target, claims its mark if it may not be repeated, is ferried once, and is
// answered as declined, unknown or answered, never as two of them.
package desk

import (
	"math/rand/v2"
	"time"

	"dunlinwell/internal/ledger"
	"dunlinwell/internal/ticket"
	"dunlinwell/internal/till"
	"dunlinwell/internal/works"
)

type phase uint8

const (
	looking phase = iota + 1
	entering
	waiting
	inInbox
	claiming
	ferrying
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
	target ticket.Instance
	avoid  map[ticket.Instance]bool
	// claimed: a claim was asked for and may stand.
	claimed bool
	// counted: this request has been counted towards the retry budget.
	counted bool
	earned  bool
	again   ticket.Tick
	since   ticket.Tick
	placed  ticket.Tick
	why     string
	// late: its goal was past reach as it came.
	late     bool
	response till.Response
}

// marked tells whether a register keeps the job to one run.
func (j *job) marked() bool { return !j.Repeatable && !j.Single }

// Params are the options of a desk.
type Params struct {
	Self  till.Owner
	Dice  *rand.Rand
	Inbox int
}

// Desk is the machine for one service at one counter. Its owner holds a short
// lock around Step, and carries the commands out after letting go of it.
type Desk struct {
	works.Out
	Params
	stock Stock
	lease ticket.Tick
	jobs  map[ticket.Request]*job
	inbox []*job
	spots map[ticket.Instance]*spot
	// list is the spots in order, and best is used anew by each choice.
	list   []*spot
	best   []*spot
	budget budget
	whole  map[ticket.Name]time.Duration
	mean   time.Duration
	last   ticket.Tick
	Tally  Tally
	// reasons count why requests got no answer of a target.
	reasons map[string]int
}

// Tally counts what the desk did, for reports and pages.
type Tally struct {
	Arrived, Declined, Unknown, Answered, Ferried, Retried, Repeats uint64
	// Region and Far count those of Ferried that left their cell, and region.
	Region, Far uint64
}

// New makes a desk with nothing to hand.
func New(p Params) *Desk {
	if p.Inbox == 0 {
		p.Inbox = 128
	}
	return &Desk{Params: p, jobs: map[ticket.Request]*job{}, spots: map[ticket.Instance]*spot{}, whole: map[ticket.Name]time.Duration{}, mean: 20 * time.Millisecond}
}

// Step is the machine's one entrance.
func (d *Desk) Step(now ticket.Tick, ev works.Event) []works.Command {
	switch e := ev.(type) {
	case Arrive:
		d.arrive(now, e.Job)
	case Told:
		d.told(now, e)
	case Back:
		d.back(now, e)
	case Stock:
		d.restock(now, e)
	case Lease:
		d.lease = e.Until
	case works.ClockEvent:
		d.clock(now)
	}
	return d.Take()
}

// Waiting counts the requests in the inbox.
func (d *Desk) Waiting() int { return len(d.inbox) }

// Busy counts the requests in hand.
func (d *Desk) Busy() int { return len(d.jobs) }

func (d *Desk) arrive(now ticket.Tick, in Job) {
	j := &job{Job: in, avoid: map[ticket.Instance]bool{}}
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
		d.wish(now, j, till.OpEnter, entering, 2*time.Second)
		return
	}
	// A repeat may find that it has run: that comes before any decline.
	if j.marked() && j.Attempt > 1 {
		d.look(now, j)
		return
	}
	d.admit(now, j)
}

// wish asks for an operation on the job's mark.
func (d *Desk) wish(now ticket.Tick, j *job, op ledger.Op, p phase, wait time.Duration) {
	j.phase = p
	j.turn++
	d.Do(Wish{ID: j.ID, Turn: j.turn, Key: till.Key(j.Route, j.Mark), Op: op, Wish: d.words(j), Wait: min(wait, max(j.Due.Since(now), 50*time.Millisecond))})
}

func (d *Desk) words(j *job) till.Wish {
	o := d.Self
	o.Request = j.ID
	return till.Wish{Owner: o, Attempt: j.Attempt, Print: j.Print, Response: kept(j.response)}
}

// mostKept bounds the body that is kept with an outcome. Beyond it a repeat
// learns that it ran, and the digest, but not the answer.
const mostKept = 64 << 10

func kept(a till.Response) till.Response {
	if len(a.Body) > mostKept {
		return till.Response{Status: a.Status, Digest: a.Digest, Cut: true}
	}
	return a
}

func (d *Desk) look(now ticket.Tick, j *job) {
	d.wish(now, j, ledger.Read, looking, 2*time.Second)
}
