// Package rounds is the foreman's delivery round: numbered pushes down the
// circuit to each counter, counted off by its acknowledgements.
package rounds

import (
	"time"

	"dunlinwell/internal/parcel"
	"dunlinwell/internal/rollcall"
	"dunlinwell/internal/ticket"
	"dunlinwell/internal/works"
	"dunlinwell/internal/yard"
)

// Push is one delivery. Its parts merge item by item, so a lost one costs a
// resending and no more; Revision is told even where the policy isn't sent.
type Push struct {
	Number   ticket.Number
	Epoch    ticket.Epoch
	Start    ticket.Start
	Revision ticket.Revision
	Policy   []byte
	Targets  []yard.Target
	// Age is how long ago, in milliseconds, the foreman began the last read
	// in which a majority told it the policy.
	Age uint32
	// Echo is the counter's own time, as its last acknowledgement gave it.
	// Whatever waited on the way, this push was sent after that.
	Echo ticket.Tick
	// For is the run of the counter that Echo belongs to.
	For ticket.Start
}

// UnderEpoch and CountedAs put the numbers into the frame's head.
func (p Push) UnderEpoch() uint64 { return uint64(p.Epoch) }

// CountedAs gives the push's number.
func (p Push) CountedAs() uint64 { return uint64(p.Number) }

// Ack is a counter's word that it goes by all that was pushed up to Number.
type Ack struct {
	Counter  ticket.Daemon
	Start    ticket.Start
	Number   ticket.Number
	Revision ticket.Revision
	// Now is the counter's own time, to be echoed.
	Now ticket.Tick
	// Yard sums up the targets that it goes by, whoever told it of them.
	Yard uint64
}

// CountedAs gives the number acknowledged.
func (a Ack) CountedAs() uint64 { return uint64(a.Number) }

var _ = parcel.Register(80, Push{}) && parcel.Register(81, Ack{})

// Rounds keeps account of what each counter has.
type Rounds struct {
	out   *works.Out
	start ticket.Start
	list  map[ticket.Daemon]*account
	// WordEvery is how often a counter hears from us where nothing is new.
	WordEvery time.Duration
	// ResendAfter is how long at first what was sent is given to be acknowledged.
	ResendAfter time.Duration
	// Spare, if set, tells which counters somebody else delivers to first: what
	// isn't urgent is held back from them, as they are likely to have it by then.
	Spare func(c rollcall.Member) bool
}

type account struct {
	start    ticket.Start
	number   ticket.Number
	acked    ticket.Number
	revision ticket.Revision
	ackedAt  ticket.Tick
	sent     ticket.Tick
	// flying is what was sent and may still be acknowledged: on a thin or long
	// link, sending all of it again with each push would choke it. patience is how
	// long that takes; it grows while nothing comes back.
	flying   map[ticket.Instance]flight
	policy   flight
	patience time.Duration
	// held: something that it lacks isn't in flight.
	held bool
	// open holds, for each push not yet acknowledged, what was in it.
	open map[ticket.Number][]stamp
	has  map[ticket.Instance]stamp
	seen uint64
	echo ticket.Tick
	told ticket.Tick
}

type stamp struct {
	id          ticket.Instance
	incarnation ticket.Incarnation
	sequence    ticket.Sequence
	gone        bool
}

func stampOf(t yard.Target) stamp { return stamp{t.Instance, t.Incarnation, t.Sequence, t.Gone} }

// New makes empty accounts.
func New(start ticket.Start, out *works.Out) *Rounds {
	return &Rounds{out: out, start: start, WordEvery: wordEvery, ResendAfter: resendAfter, list: map[ticket.Daemon]*account{}}
}

const (
	resendAfter = 150 * time.Millisecond
	wordEvery   = 300 * time.Millisecond
	mostOpen    = 64
	// mostPatience bounds the wait for one that says nothing at all.
	mostPatience = 600 * time.Millisecond
	// holdBack is how long what isn't urgent waits where another delivers first.
	holdBack = 700 * time.Millisecond
)

// Consignment is what there is to deliver.
type Consignment struct {
	Revision ticket.Revision
	// Policy gives what leads to the revision from an earlier one.
	Policy func(from ticket.Revision) []byte
	// Targets gives all targets.
	Targets func() []yard.Target
	Version uint64
	Age     time.Duration
}

// Go makes the round over the live counters.
func (r *Rounds) Go(now ticket.Tick, counters []rollcall.Member, load Consignment) {
	// Drawn up once a round, and only if anybody lacks anything.
	var all []yard.Target
	draw := load.Targets
	load.Targets = func() []yard.Target {
		if all == nil {
			all = draw()
		}
		return all
	}
	for _, c := range counters {
		a := r.list[c.ID]
		// A counter's new run has nothing: it gets a snapshot.
		if a == nil || a.start != c.Start {
			a = &account{patience: r.ResendAfter, flying: map[ticket.Instance]flight{}, start: c.Start, open: map[ticket.Number][]stamp{}, has: map[ticket.Instance]stamp{}}
			r.list[c.ID] = a
		}
		r.deliver(now, c, a, load)
	}
}

func (r *Rounds) deliver(now ticket.Tick, c rollcall.Member, a *account, load Consignment) {
	old := a.seen != load.Version || a.revision < load.Revision
	owed := len(a.open) > 0 || a.revision < load.Revision || a.held
	due := a.seen != load.Version || (a.told == 0 && a.echo != 0) || (owed && now.Since(a.sent) >= a.patience) || now.Since(a.sent) >= r.WordEvery
	if !due {
		return
	}
	a.number++
	p := Push{Number: a.number, Start: r.start, Revision: load.Revision, Echo: a.echo, For: a.start, Age: uint32(min(load.Age/time.Millisecond, 1<<30))}
	if a.revision < load.Revision && a.due(now, a.policy, a.policy.revision == load.Revision) {
		p.Policy = load.Policy(a.revision)
		a.policy = flight{revision: load.Revision, until: now.Add(a.patience)}
	}
	var in []stamp
	if old || owed {
		p.Targets, in = r.lacking(now, c, a, load.Targets())
	}
	// Only the newest few can still be acknowledged; the rest is sent again.
	if len(a.open) >= mostOpen {
		clear(a.open)
		a.held = true
	}
	if len(in) > 0 {
		a.open[a.number] = in
	}
	if owed && now.Since(a.ackedAt) >= a.patience {
		a.patience = min(2*a.patience, mostPatience)
	}
	a.sent, a.seen, a.told = now, load.Version, a.echo
	r.out.Tell(c.Address, p)
}

// Acked takes a counter's word.
func (r *Rounds) Acked(now ticket.Tick, m Ack) {
	a := r.list[m.Counter]
	if a == nil || a.start != m.Start {
		return
	}
	a.ackedAt, a.echo = now, max(a.echo, m.Now)
	a.patience = r.ResendAfter
	a.acked, a.revision = max(a.acked, m.Number), max(a.revision, m.Revision)
	for _, s := range a.open[m.Number] {
		a.has[s.id] = s
		if a.flying[s.id].stamp == s {
			delete(a.flying, s.id)
		}
	}
	delete(a.open, m.Number)
	// Pushes before this one that hold nothing newer need no answer any more.
	for n, in := range a.open {
		have := true
		for _, s := range in {
			have = have && a.has[s.id] == s
		}
		if have {
			delete(a.open, n)
		}
	}
}
