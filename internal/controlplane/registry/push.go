package registry

import (
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/distribution"
	"dunlinwell/internal/controlplane/targets"
)

const (
	// pushInterval is the interval at which changes that aren't urgent are pushed.
	pushInterval = 150 * time.Millisecond
	// pushVersionShift keeps the targets' version above the configuration's revision in
	// the version of a push. Both only grow, so their sum differs after each change of
	// either, however large they become.
	pushVersionShift = 20
	// incrementalRefreshInterval is how often a proxy is pushed to if nothing is new,
	// and incrementalRetryTimeout how long a first push waits for its acknowledgement.
	incrementalRefreshInterval = time.Second
	incrementalRetryTimeout    = 400 * time.Millisecond
)

// newDistributor makes the distributor of a registry.
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

// tickPush pushes what isn't urgent when it is due.
func (r *Registry) tickPush(now ids.Time) {
	if !r.options.Incremental || now.Sub(r.lastPush) >= pushInterval {
		r.pushToProxies(now)
	}
}

// pushToProxies pushes to the assigned proxies what they haven't acknowledged yet.
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

// handleProxyAck takes a proxy's acknowledgement. Where an incremental push is still
// open, but the proxy's digest shows that it has all targets, they count as acknowledged.
func (r *Registry) handleProxyAck(now ids.Time, ack distribution.Ack) {
	r.Distributor.HandleAck(now, ack)
	if r.options.Incremental && !r.Distributor.IsCurrent(ack.Proxy, ack.RunID) && ack.TargetsDigest == r.Targets.ProxyDigest() {
		r.Distributor.ConfirmTargets(ack.Proxy, ack.RunID, r.targetsForProxies(now))
	}
	r.completeDepartures(now)
}

// targetsForProxies gives the targets in the form that proxies are sent.
func (r *Registry) targetsForProxies(now ids.Time) []targets.Target {
	if r.options.Incremental {
		return r.Targets.ForProxies(now)
	}
	return r.Targets.All(now)
}

// targetsVersion gives a number that grows with each change of targetsForProxies.
func (r *Registry) targetsVersion() uint64 {
	if r.options.Incremental {
		return r.Targets.ProxyVersion()
	}
	return r.Targets.Version()
}

// configurationSince gives the encoded configuration for a proxy that has a revision: where
// that is possible only the items that changed (Document.ChangesSince), which is another
// thing than the binary difference between two values that stores send.
func (r *Registry) configurationSince(revision ids.Revision) []byte {
	if revision == 0 || !r.options.Incremental {
		return r.configuration.full()
	}
	return r.configuration.deltaFrom(revision)
}
