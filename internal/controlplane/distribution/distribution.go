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
// resending and no more; Revision is told even where the configuration isn't sent.
type Push struct {
	Number        ids.StreamNumber
	Epoch         ids.Epoch
	RunID         ids.RunID
	Revision      ids.Revision
	Configuration []byte
	Targets       []targets.Target
	// Age is how long ago, in milliseconds, the registry began the last read
	// in which a majority told it the configuration.
	Age uint32
	// EchoedTime is the proxy's own time, as its last acknowledgement gave it.
	// Whatever waited on the way, this push was sent after that.
	EchoedTime ids.Time
	// ProxyRunID is the run of the proxy that Echo belongs to.
	ProxyRunID ids.RunID
}

// MessageEpoch and CountedAs put the numbers into the frame's head.
func (p Push) MessageEpoch() uint64 { return uint64(p.Epoch) }

// MessageNumber gives the push's number.
func (p Push) MessageNumber() uint64 { return uint64(p.Number) }

// Ack is a proxy's word that it goes by all that was pushed up to Number.
type Ack struct {
	Proxy    ids.DaemonID
	RunID    ids.RunID
	Number   ids.StreamNumber
	Revision ids.Revision
	// Now is the proxy's own time, to be echoed.
	Now ids.Time
	// TargetsDigest sums up the targets that it goes by, whoever told it of them.
	TargetsDigest uint64
}

// MessageNumber gives the number acknowledged.
func (a Ack) MessageNumber() uint64 { return uint64(a.Number) }

var _ = wire.Register(80, Push{}) && wire.Register(81, Ack{})

// Rounds keeps account of what each proxy has.
type Distributor struct {
	out   *event.Outbox
	start ids.RunID
	list  map[ids.DaemonID]*account
	// RefreshEvery is how often a proxy hears from us where nothing is new.
	RefreshEvery time.Duration
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
	number   ids.StreamNumber
	acked    ids.StreamNumber
	revision ids.Revision
	ackedAt  ids.Time
	sent     ids.Time
	// flying is what was sent and may still be acknowledged: on a thin or long
	// link, sending all of it again with each push would choke it. patience is how
	// long that takes; it grows while nothing comes back.
	flying        map[ids.InstanceID]flight
	configuration flight
	patience      time.Duration
	// held: something that it lacks isn't in flight.
	held bool
	// again: something was lost, and is to be sent again at once.
	again bool
	// open holds, for each push not yet acknowledged, what was in it.
	open map[ids.StreamNumber]parcel
	has  map[ids.InstanceID]stamp
	seen uint64
	echo ids.Time
	told ids.Time
}

type stamp struct {
	id          ids.InstanceID
	incarnation ids.Incarnation
	sequence    ids.Sequence
	gone        bool
}

func stampOf(t targets.Target) stamp { return stamp{t.Instance, t.Incarnation, t.Sequence, t.Gone} }

// New makes empty accounts.
func New(start ids.RunID, out *event.Outbox) *Distributor {
	return &Distributor{out: out, start: start, RefreshEvery: wordEvery, ResendAfter: resendAfter, list: map[ids.DaemonID]*account{}}
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
	// Configuration gives what leads to the revision from an earlier one.
	Configuration func(from ids.Revision) []byte
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
		if a == nil || a.start != c.RunID {
			// Numbers begin past the run's own, so that an acknowledgement of an
			// earlier run's push isn't taken for one of ours.
			a = &account{number: ids.StreamNumber(r.start) << 24, patience: r.ResendAfter, flying: map[ids.InstanceID]flight{}, start: c.RunID, open: map[ids.StreamNumber]parcel{}, has: map[ids.InstanceID]stamp{}}
			r.list[c.ID] = a
		}
		r.deliver(now, c, a, load)
	}
}
