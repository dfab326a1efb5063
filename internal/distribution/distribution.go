// Package rounds is the registry's delivery round: numbered pushes down the
// circuit to each proxy, counted off by its acknowledgements.
package distribution

import (
	"time"

	"dunlinwell/internal/event"
	"dunlinwell/internal/ids"
	"dunlinwell/internal/membership"
	"dunlinwell/internal/targets"
	"dunlinwell/internal/wire"
)

// Push is one delivery. Its parts merge item by item, so a lost one costs a
// resending and no more; Revision is told even where the policy isn't sent.
type Push struct {
	Number   ids.Number
	Epoch    ids.Epoch
	Start    ids.RunID
	Revision ids.Revision
	Policy   []byte
	Targets  []targets.Target
	// Age is how long ago, in milliseconds, the registry began the last read
	// in which a majority told it the policy.
	Age uint32
	// Echo is the proxy's own time, as its last acknowledgement gave it.
	// Whatever waited on the way, this push was sent after that.
	Echo ids.Time
	// For is the run of the proxy that Echo belongs to.
	For ids.RunID
}

// UnderEpoch and CountedAs put the numbers into the frame's head.
func (p Push) UnderEpoch() uint64 { return uint64(p.Epoch) }

// CountedAs gives the push's number.
func (p Push) CountedAs() uint64 { return uint64(p.Number) }

// Ack is a proxy's word that it goes by all that was pushed up to Number.
type Ack struct {
	Proxy    ids.Daemon
	Start    ids.RunID
	Number   ids.Number
	Revision ids.Revision
	// Now is the proxy's own time, to be echoed.
	Now ids.Time
	// Yard sums up the targets that it goes by, whoever told it of them.
	Yard uint64
}

// CountedAs gives the number acknowledged.
func (a Ack) CountedAs() uint64 { return uint64(a.Number) }

var _ = wire.Register(80, Push{}) && wire.Register(81, Ack{})

// Rounds keeps account of what each proxy has.
type Distributor struct {
	out   *event.Outbox
	start ids.RunID
	list  map[ids.Daemon]*account
	// WordEvery is how often a proxy hears from us where nothing is new.
	WordEvery time.Duration
	// ResendAfter is how long at first what was sent is given to be acknowledged.
	ResendAfter time.Duration
	// Spare, if set, tells which proxies somebody else delivers to first: what
	// isn't urgent is held back from them, as they are likely to have it by then.
	Spare func(c membership.Member) bool
}

type account struct {
	start    ids.RunID
	number   ids.Number
	acked    ids.Number
	revision ids.Revision
	ackedAt  ids.Time
	sent     ids.Time
	// flying is what was sent and may still be acknowledged: on a thin or long
	// link, sending all of it again with each push would choke it. patience is how
	// long that takes; it grows while nothing comes back.
	flying   map[ids.Instance]flight
	policy   flight
	patience time.Duration
	// held: something that it lacks isn't in flight.
	held bool
	// open holds, for each push not yet acknowledged, what was in it.
	open map[ids.Number][]stamp
	has  map[ids.Instance]stamp
	seen uint64
	echo ids.Time
	told ids.Time
}

type stamp struct {
	id          ids.Instance
	incarnation ids.Incarnation
	sequence    ids.Sequence
	gone        bool
}

func stampOf(t targets.Target) stamp { return stamp{t.Instance, t.Incarnation, t.Sequence, t.Gone} }

// New makes empty accounts.
func New(start ids.RunID, out *event.Outbox) *Distributor {
	return &Distributor{out: out, start: start, WordEvery: wordEvery, ResendAfter: resendAfter, list: map[ids.Daemon]*account{}}
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
type Content struct {
	Revision ids.Revision
	// Policy gives what leads to the revision from an earlier one.
	Policy func(from ids.Revision) []byte
	// Targets gives all targets.
	Targets func() []targets.Target
	Version uint64
	Age     time.Duration
}

// Go makes the round over the live proxies.
func (r *Distributor) Distribute(now ids.Time, proxies []membership.Member, load Content) {
	// Drawn up once a round, and only if anybody lacks anything.
	var all []targets.Target
	draw := load.Targets
	load.Targets = func() []targets.Target {
		if all == nil {
			all = draw()
		}
		return all
	}
	for _, c := range proxies {
		a := r.list[c.ID]
		// A proxy's new run has nothing: it gets a snapshot.
		if a == nil || a.start != c.Start {
			// Numbers begin past the run's own, so that an acknowledgement of an
			// earlier run's push isn't taken for one of ours.
			a = &account{number: ids.Number(r.start) << 24, patience: r.ResendAfter, flying: map[ids.Instance]flight{}, start: c.Start, open: map[ids.Number][]stamp{}, has: map[ids.Instance]stamp{}}
			r.list[c.ID] = a
		}
		r.deliver(now, c, a, load)
	}
}

func (r *Distributor) deliver(now ids.Time, c membership.Member, a *account, load Content) {
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
	r.out.Send(c.Address, p)
}

// Acked takes a proxy's word.
func (r *Distributor) HandleAck(now ids.Time, m Ack) {
	a := r.list[m.Proxy]
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
