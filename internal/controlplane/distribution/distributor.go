package distribution

import (
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/targets"
)

const (
	// initialRetryTimeout is the default of Distributor.InitialRetryTimeout.
	initialRetryTimeout = 150 * time.Millisecond
	// refreshInterval is the default of Distributor.RefreshInterval. ControlLease spans several
	// intervals, so that a few lost pushes don't make a proxy's configuration unconfirmed.
	refreshInterval = 300 * time.Millisecond
	// runIDShift is the position of the run ID in push numbers. The numbers of a run are higher
	// than those of all earlier runs, so that acknowledgements of pushes of earlier runs aren't
	// mistaken for those of this run. Each run can send 2^24 pushes to a proxy.
	runIDShift = 24
)

// Distributor pushes content to the proxies and tracks what each of them has acknowledged.
type Distributor struct {
	out     *event.Outbox
	runID   ids.RunID
	proxies map[ids.DaemonID]*proxyState
	// RefreshInterval is the maximum time between pushes to a proxy. A push without changes
	// confirms that the proxy's configuration is still in force.
	RefreshInterval time.Duration
	// InitialRetryTimeout is how long the first push to a proxy may remain unacknowledged before
	// it is retransmitted.
	InitialRetryTimeout time.Duration
	// SkipEmptyPushes suppresses pushes without configuration or targets, except for refreshes
	// (RefreshInterval).
	SkipEmptyPushes bool
	// IsBackup, if set, reports whether this registry is a backup for a proxy that another
	// registry pushes to first. New usable targets are then delayed, because the proxy usually
	// gets them from the other registry in the meantime.
	IsBackup func(proxy membership.Member) bool
}

// Content is the current content to push.
type Content struct {
	// Revision is the revision of the newest configuration.
	Revision ids.Revision
	// Configuration returns the encoded update from an earlier revision to Revision.
	Configuration func(from ids.Revision) []byte
	// Targets returns all targets. It is called at most once per Distribute.
	Targets func() []targets.Target
	// Version changes whenever the result of Targets does.
	Version uint64
	// ReadAge is the time since the last read of the configuration from a majority of stores
	// began.
	ReadAge time.Duration
}

// New returns a distributor for one run of a registry. Pushes go to out.
func New(runID ids.RunID, out *event.Outbox) *Distributor {
	return &Distributor{
		out:                 out,
		runID:               runID,
		proxies:             map[ids.DaemonID]*proxyState{},
		RefreshInterval:     refreshInterval,
		InitialRetryTimeout: initialRetryTimeout,
	}
}

// Distribute sends each of the live proxies a push if one is due.
func (d *Distributor) Distribute(now ids.Time, proxies []membership.Member, content Content) {
	content.Targets = loadOnce(content.Targets)
	for _, proxy := range proxies {
		d.pushTo(now, proxy, d.stateOf(proxy), content)
	}
}

// stateOf returns the state of a proxy's current run, and creates it if there is none.
func (d *Distributor) stateOf(proxy membership.Member) *proxyState {
	p := d.proxies[proxy.ID]
	if p == nil || p.runID != proxy.RunID {
		p = d.newProxyState(proxy.RunID)
		d.proxies[proxy.ID] = p
	}
	return p
}

// newProxyState returns the state of a proxy to which nothing was sent yet.
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

// loadOnce returns a function that calls load on first use and caches the result.
func loadOnce(load func() []targets.Target) func() []targets.Target {
	var loaded []targets.Target
	return func() []targets.Target {
		if loaded == nil {
			loaded = load()
		}
		return loaded
	}
}
