// Package rounds is the registry's delivery round: numbered pushes down the
// connection to each proxy, counted off by its acknowledgements.
package distribution

import (
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/targets"
	"dunlinwell/internal/transport/wire"
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
	// Quiet: a push that would hold nothing waits until a word is due.
	Quiet bool
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
	// again: something was lost, and is to be sent again at once.
	again bool
	// open holds, for each push not yet acknowledged, what was in it.
	open map[ids.Number]parcel
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
	// mostPatience bounds the wait for one that says nothing at all. Words go on
	// meanwhile, and the first acknowledgement shows what was lost.
	mostPatience = 4800 * time.Millisecond
	// perTarget is how much longer a push is given for each target in it: a whole
	// list takes a thin link's time.
	perTarget = 5 * time.Millisecond
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
			a = &account{number: ids.Number(r.start) << 24, patience: r.ResendAfter, flying: map[ids.Instance]flight{}, start: c.Start, open: map[ids.Number]parcel{}, has: map[ids.Instance]stamp{}}
			r.list[c.ID] = a
		}
		r.deliver(now, c, a, load)
	}
}
