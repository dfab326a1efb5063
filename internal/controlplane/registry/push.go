package registry

import (
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/distribution"
	"dunlinwell/internal/controlplane/targets"
)

const (
	// pushInterval is the interval between regular pushes of changes that aren't urgent.
	pushInterval = 150 * time.Millisecond
	// pushVersionShift shifts the targets' version when it is added to the
	// configuration's revision to form the version of a push. Both only increase, so the
	// sum increases with each change of either.
	pushVersionShift = 20
	// incrementalRefreshInterval is the interval between pushes to a proxy while nothing
	// changes, and incrementalRetryTimeout the time to wait for the acknowledgement of a
	// first push before it is retried.
	incrementalRefreshInterval = time.Second
	incrementalRetryTimeout    = 400 * time.Millisecond
)

// newDistributor returns the distributor of this registry.
func (r *Registry) newDistributor() *distribution.Distributor {
	distributor := distribution.New(r.options.Self.RunID, &r.Outbox)
	if r.options.Incremental {
		distributor.RefreshInterval = incrementalRefreshInterval
		distributor.InitialRetryTimeout = incrementalRetryTimeout
		distributor.SkipEmptyPushes = true
		distributor.IsBackup = r.isBackupFor
	}
	return distributor
}

// tickPush performs the regular push when it is due.
func (r *Registry) tickPush(now ids.Time) {
	if !r.options.Incremental || now.Sub(r.lastPush) >= pushInterval {
		r.pushToProxies(now)
	}
}

// pushToProxies pushes everything not yet acknowledged to the assigned proxies.
func (r *Registry) pushToProxies(now ids.Time) {
	r.lastPush = now
	revision := r.configuration.view.Revision
	r.Distributor.Distribute(now, r.assignedProxies(now), distribution.Content{
		Revision:      revision,
		Configuration: r.configurationSince,
		Targets:       func() []targets.Target { return r.targetsForProxies(now) },
		Version:       r.targetsVersion()<<pushVersionShift + uint64(revision),
		ReadAge:       r.lease.age(now),
	})
}

// handleProxyAck handles a proxy's acknowledgement. If an incremental push is still
// unacknowledged, but the proxy's digest shows that it has all targets, the targets are
// taken as acknowledged.
func (r *Registry) handleProxyAck(now ids.Time, ack distribution.Ack) {
	r.Distributor.HandleAck(now, ack)
	if r.options.Incremental && !r.Distributor.IsCurrent(ack.Proxy, ack.RunID) && ack.TargetsDigest == r.Targets.ProxyDigest() {
		r.Distributor.ConfirmTargets(ack.Proxy, ack.RunID, r.targetsForProxies(now))
	}
	r.completeDepartures(now)
}

// targetsForProxies returns the targets in the form sent to proxies.
func (r *Registry) targetsForProxies(now ids.Time) []targets.Target {
	if r.options.Incremental {
		return r.Targets.ForProxies(now)
	}
	return r.Targets.All(now)
}

// targetsVersion returns a number that increases with each change of targetsForProxies.
func (r *Registry) targetsVersion() uint64 {
	if r.options.Incremental {
		return r.Targets.ProxyVersion()
	}
	return r.Targets.Version()
}

// configurationSince returns the encoded configuration for a proxy that has a revision,
// reduced to the changed items where possible (Document.ChangesSince). This delta is not
// the binary delta between register values that stores send.
func (r *Registry) configurationSince(revision ids.Revision) []byte {
	if revision == 0 || !r.options.Incremental {
		return r.configuration.full()
	}
	return r.configuration.deltaFrom(revision)
}
