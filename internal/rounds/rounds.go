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
}

type account struct {
	start    ticket.Start
	number   ticket.Number
	acked    ticket.Number
	revision ticket.Revision
	ackedAt  ticket.Tick
	sent     ticket.Tick
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
	return &Rounds{out: out, start: start, WordEvery: wordEvery, list: map[ticket.Daemon]*account{}}
}

const (
	resendAfter = 150 * time.Millisecond
	wordEvery   = 300 * time.Millisecond
	mostOpen    = 64
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
			a = &account{start: c.Start, open: map[ticket.Number][]stamp{}, has: map[ticket.Instance]stamp{}}
			r.list[c.ID] = a
		}
		r.deliver(now, c, a, load)
	}
}

func (r *Rounds) deliver(now ticket.Tick, c rollcall.Member, a *account, load Consignment) {
	old := a.seen != load.Version || a.revision < load.Revision
	owed := len(a.open) > 0 || a.revision < load.Revision
	due := a.seen != load.Version || (a.told == 0 && a.echo != 0) || (owed && now.Since(a.sent) >= resendAfter) || now.Since(a.sent) >= r.WordEvery
	if !due {
		return
	}
	a.number++
	p := Push{Number: a.number, Start: r.start, Revision: load.Revision, Echo: a.echo, For: a.start, Age: uint32(min(load.Age/time.Millisecond, 1<<30))}
	if a.revision < load.Revision {
		p.Policy = load.Policy(a.revision)
	}
	var in []stamp
	if old || owed {
		for _, t := range load.Targets() {
			if a.has[t.Instance] != stampOf(t) {
				p.Targets = append(p.Targets, t)
				in = append(in, stampOf(t))
			}
		}
	}
	// Only the newest few can still be acknowledged; the rest is sent again.
	if len(a.open) >= mostOpen {
		clear(a.open)
	}
	if len(in) > 0 {
		a.open[a.number] = in
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
	a.acked, a.revision = max(a.acked, m.Number), max(a.revision, m.Revision)
	for _, s := range a.open[m.Number] {
		a.has[s.id] = s
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

// Lag tells who among the counters hasn't acknowledged a revision, and for
// how long a counter has said nothing at all.
func (r *Rounds) Lag(counters []rollcall.Member, rev ticket.Revision) []ticket.Daemon {
	var out []ticket.Daemon
	for _, c := range counters {
		if a := r.list[c.ID]; a == nil || a.start != c.Start || a.revision < rev {
			out = append(out, c.ID)
		}
	}
	return out
}

// Reached tells whether every counter has acknowledged that a target leaves.
func (r *Rounds) Reached(counters []rollcall.Member, t yard.Target) bool {
	for _, c := range counters {
		a := r.list[c.ID]
		if a == nil || a.start != c.Start {
			return false
		}
		if s := a.has[t.Instance]; s.incarnation < t.Incarnation || s.incarnation == t.Incarnation && s.sequence < t.Sequence {
			return false
		}
	}
	return true
}

// Fresh tells whether a counter has acknowledged anything of late.
func (r *Rounds) Fresh(now ticket.Tick, c rollcall.Member, within time.Duration) bool {
	a := r.list[c.ID]
	return a != nil && a.start == c.Start && a.acked > 0 && now.Since(a.ackedAt) <= within
}

// Has gives the revision that a counter acknowledged.
func (r *Rounds) Has(c rollcall.Member) ticket.Revision {
	if a := r.list[c.ID]; a != nil && a.start == c.Start {
		return a.revision
	}
	return 0
}
