package distribution

import (
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/targets"
)

const (
	// initialRetryTimeout is the default of Distributor.InitialRetryTimeout: a few
	// steps of registry and proxy and a round trip between them.
	initialRetryTimeout = 150 * time.Millisecond
	// refreshInterval is the default of Distributor.RefreshInterval. Several intervals
	// fit into ControlLease, so that pushes may be lost before a proxy takes its
	// configuration for unconfirmed.
	refreshInterval = 300 * time.Millisecond
	// runIDShift makes the numbers of a run's pushes begin above those of all earlier
	// runs, so that an acknowledgement of an earlier run's push isn't taken for one of
	// this run. It leaves each run 2^24 pushes to a proxy: a month of one every 150 ms.
	runIDShift = 24
)

// Distributor pushes content to the proxies and tracks what each of them has.
type Distributor struct {
	out     *event.Outbox
	runID   ids.RunID
	proxies map[ids.DaemonID]*proxyState
	// RefreshInterval is how often a proxy is sent a push even if nothing is new, which
	// confirms that what it has is still in force.
	RefreshInterval time.Duration
	// InitialRetryTimeout is how long the first transmission to a proxy may stay
	// unacknowledged before it is repeated.
	InitialRetryTimeout time.Duration
	// SkipEmptyPushes suppresses pushes without configuration or targets except those
	// of RefreshInterval.
	SkipEmptyPushes bool
	// IsBackup, if set, reports whether another registry pushes to a proxy first. New
	// usable targets are then held back for a while, as the proxy probably has them
	// from the other registry by then.
	IsBackup func(proxy membership.Member) bool
}

// Content is what there is to push.
type Content struct {
	// Revision is the newest configuration.
	Revision ids.Revision
	// Configuration returns what leads from an earlier revision to Revision.
	Configuration func(from ids.Revision) []byte
	// Targets returns all targets. It is called at most once in each Distribute.
	Targets func() []targets.Target
	// Version changes whenever Targets would return something else.
	Version uint64
	// ReadAge is how long ago the last read of the configuration from a majority of
	// stores began.
	ReadAge time.Duration
}

// New makes a distributor for one run of a registry. Pushes go to out.
func New(runID ids.RunID, out *event.Outbox) *Distributor {
	return &Distributor{
		out:                 out,
		runID:               runID,
		proxies:             map[ids.DaemonID]*proxyState{},
		RefreshInterval:     refreshInterval,
		InitialRetryTimeout: initialRetryTimeout,
	}
}

// Distribute sends each of the live proxies the push that is due to it, if any.
func (d *Distributor) Distribute(now ids.Time, proxies []membership.Member, content Content) {
	content.Targets = loadOnce(content.Targets)
	for _, proxy := range proxies {
		d.pushTo(now, proxy, d.stateOf(proxy), content)
	}
}

// stateOf returns what is known of a proxy's present run.
func (d *Distributor) stateOf(proxy membership.Member) *proxyState {
	p := d.proxies[proxy.ID]
	if p == nil || p.runID != proxy.RunID {
		p = d.newProxyState(proxy.RunID)
		d.proxies[proxy.ID] = p
	}
	return p
}

// newProxyState is the state of a proxy that has nothing yet.
func (d *Distributor) newProxyState(proxyRunID ids.RunID) *proxyState {
	return &proxyState{
		runID:          proxyRunID,
		lastPush:       ids.StreamNumber(d.runID) << runIDShift,
		retryTimeout:   d.InitialRetryTimeout,
		inFlight:       map[ids.InstanceID]inFlightTarget{},
		unacknowledged: map[ids.StreamNumber]sentPush{},
		acknowledged:   map[ids.InstanceID]targetVersion{},
	}
}

// loadOnce calls load when its result is first asked for, and keeps the result.
func loadOnce(load func() []targets.Target) func() []targets.Target {
	var loaded []targets.Target
	return func() []targets.Target {
		if loaded == nil {
			loaded = load()
		}
		return loaded
	}
}
