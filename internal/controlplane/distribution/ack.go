package distribution

import (
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/targets"
)

// HandleAck handles a proxy's acknowledgement. Acknowledgements from another run of the proxy are
// ignored.
func (d *Distributor) HandleAck(now ids.Time, ack Ack) {
	p := d.currentRun(ack.Proxy, ack.RunID)
	if p == nil {
		return
	}
	p.lastAckAt, p.proxyTime = now, max(p.proxyTime, ack.Now)
	p.lastAcked, p.ackedRevision = max(p.lastAcked, ack.Number), max(p.ackedRevision, ack.Revision)
	p.retryTimeout = d.InitialRetryTimeout
	if push, ok := p.unacknowledged[ack.Number]; ok {
		// Twice the round-trip time, so that pushes on a congested or high-latency link aren't
		// taken for lost.
		roundTrip := now.Sub(push.sentAt)
		p.retryTimeout = min(max(d.InitialRetryTimeout, 2*roundTrip), maxRetryTimeout)
		p.acknowledge(push)
	}
	delete(p.unacknowledged, ack.Number)
	p.detectLost(ack)
}

// ConfirmTargets records that a run of a proxy has all of these targets, possibly from another
// registry, as shown by the digest in its acknowledgement.
func (d *Distributor) ConfirmTargets(proxy ids.DaemonID, runID ids.RunID, confirmed []targets.Target) {
	p := d.currentRun(proxy, runID)
	if p == nil {
		return
	}
	for _, target := range confirmed {
		p.acknowledged[target.Instance] = versionOf(target)
	}
	clear(p.unacknowledged)
	clear(p.inFlight)
	p.hasUnsent = false
}

// IsCurrent reports whether a run of a proxy has acknowledged all targets as of the last Distribute.
// It doesn't consider the configuration; see Lagging.
func (d *Distributor) IsCurrent(proxy ids.DaemonID, runID ids.RunID) bool {
	p := d.currentRun(proxy, runID)
	return p != nil && len(p.unacknowledged) == 0 && !p.hasUnsent
}

// Lagging returns the proxies that haven't acknowledged a revision or a later one.
func (d *Distributor) Lagging(proxies []membership.Member, revision ids.Revision) []ids.DaemonID {
	var lagging []ids.DaemonID
	for _, proxy := range proxies {
		if p := d.currentRun(proxy.ID, proxy.RunID); p == nil || p.ackedRevision < revision {
			lagging = append(lagging, proxy.ID)
		}
	}
	return lagging
}

// AllAcknowledged reports whether all of the proxies have acknowledged a target in this state or a
// later one.
func (d *Distributor) AllAcknowledged(proxies []membership.Member, target targets.Target) bool {
	for _, proxy := range proxies {
		p := d.currentRun(proxy.ID, proxy.RunID)
		if p == nil || !p.acknowledged[target.Instance].isAtLeast(target) {
			return false
		}
	}
	return true
}

// AcknowledgedWithin reports whether a proxy has acknowledged a push within the given time before
// now.
func (d *Distributor) AcknowledgedWithin(now ids.Time, proxy membership.Member, within time.Duration) bool {
	p := d.currentRun(proxy.ID, proxy.RunID)
	return p != nil && p.lastAcked > 0 && now.Sub(p.lastAckAt) <= within
}

// AcknowledgedRevision returns the newest revision that a proxy has acknowledged, or 0 if none.
func (d *Distributor) AcknowledgedRevision(proxy membership.Member) ids.Revision {
	if p := d.currentRun(proxy.ID, proxy.RunID); p != nil {
		return p.ackedRevision
	}
	return 0
}

// currentRun returns the state of a run of a proxy, or nil if nothing was sent to that run or a later
// run has begun.
func (d *Distributor) currentRun(proxy ids.DaemonID, runID ids.RunID) *proxyState {
	if p := d.proxies[proxy]; p != nil && p.runID == runID {
		return p
	}
	return nil
}
