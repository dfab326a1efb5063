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
	// ReadAgeMillis is how long ago, in milliseconds, the registry began the last read
	// in which a majority told it the configuration.
	ReadAgeMillis uint32
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
	out     *event.Outbox
	runID   ids.RunID
	proxies map[ids.DaemonID]*progress
	// RefreshInterval is how often a proxy hears from us where nothing is new.
	RefreshInterval time.Duration
	// InitialRetryTimeout is how long at first what was sent is given to be acknowledged.
	InitialRetryTimeout time.Duration
	// Quiet: a push that would hold nothing waits until a word is due.
	SkipEmptyPushes bool
	// Spare, if set, tells which proxies somebody else delivers to first: what
	// isn't urgent is held back from them, as they are likely to have it by then.
	IsBackup func(c membership.Member) bool
}

type progress struct {
	runID         ids.RunID
	lastPush      ids.StreamNumber
	lastAcked     ids.StreamNumber
	ackedRevision ids.Revision
	lastAckAt     ids.Time
	lastSentAt    ids.Time
	// inFlight is what was sent and may still be acknowledged: on a thin or long
	// link, sending all of it again with each push would choke it. patience is how
	// long that takes; it grows while nothing comes back.
	inFlight              map[ids.InstanceID]inFlightItem
	inFlightConfiguration inFlightItem
	retryTimeout          time.Duration
	// held: something that it lacks isn't in flight.
	hasUnsent bool
	// again: something was lost, and is to be sent again at once.
	resendNow bool
	// unacknowledged holds, for each push not yet acknowledged, what was in it.
	unacknowledged map[ids.StreamNumber]sentPush
	acknowledged   map[ids.InstanceID]targetVersion
	contentVersion uint64
	proxyTime      ids.Time
	echoedTime     ids.Time
}

type targetVersion struct {
	id          ids.InstanceID
	incarnation ids.Incarnation
	sequence    ids.Sequence
	gone        bool
}

func versionOf(t targets.Target) targetVersion {
	return targetVersion{t.Instance, t.Incarnation, t.Sequence, t.Gone}
}

// New makes empty accounts.
func New(runID ids.RunID, out *event.Outbox) *Distributor {
	return &Distributor{out: out, runID: runID, RefreshInterval: refreshInterval, InitialRetryTimeout: initialRetryTimeout, proxies: map[ids.DaemonID]*progress{}}
}

const (
	initialRetryTimeout = 150 * time.Millisecond
	refreshInterval     = 300 * time.Millisecond
	maxUnacknowledged   = 64
	// maxRetryTimeout bounds the wait for one that says nothing at all. Words go on
	// meanwhile, and the first acknowledgement shows what was lost.
	maxRetryTimeout = 4800 * time.Millisecond
	// retryTimeoutPerTarget is how much longer a push is given for each target in it: a whole
	// list takes a thin link's time.
	retryTimeoutPerTarget = 5 * time.Millisecond
	// backupDelay is how long what isn't urgent waits where another delivers first.
	backupDelay = 700 * time.Millisecond
)

// Consignment is what there is to deliver.
type Content struct {
	Revision ids.Revision
	// Configuration gives what leads to the revision from an earlier one.
	Configuration func(from ids.Revision) []byte
	// Targets gives all targets.
	Targets func() []targets.Target
	Version uint64
	ReadAge time.Duration
}

// Go makes the round over the live proxies.
func (d *Distributor) Distribute(now ids.Time, proxies []membership.Member, content Content) {
	// Drawn up once a round, and only if anybody lacks anything.
	var cached []targets.Target
	load := content.Targets
	content.Targets = func() []targets.Target {
		if cached == nil {
			cached = load()
		}
		return cached
	}
	for _, proxy := range proxies {
		p := d.proxies[proxy.ID]
		// A proxy's new run has nothing: it gets a snapshot.
		if p == nil || p.runID != proxy.RunID {
			// Numbers begin past the run's own, so that an acknowledgement of an
			// earlier run's push isn't taken for one of ours.
			p = &progress{lastPush: ids.StreamNumber(d.runID) << 24, retryTimeout: d.InitialRetryTimeout, inFlight: map[ids.InstanceID]inFlightItem{}, runID: proxy.RunID, unacknowledged: map[ids.StreamNumber]sentPush{}, acknowledged: map[ids.InstanceID]targetVersion{}}
			d.proxies[proxy.ID] = p
		}
		d.pushTo(now, proxy, p, content)
	}
}
