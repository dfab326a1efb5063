package distribution

import (
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/targets"
)

type inFlightItem struct {
	targetVersion
	revision ids.Revision
	// retryAt is when it is sent again, if nothing has come back.
	retryAt ids.Time
	// pushNumber is the push that a configuration was in.
	pushNumber ids.StreamNumber
}

// shouldSend tells whether a thing in flight is to be sent again.
func (p *progress) shouldSend(now ids.Time, item inFlightItem, isInFlight bool) bool {
	return !isInFlight || now >= item.retryAt
}

// takeMissingTargets gives what a proxy lacks and isn't in flight to it.
func (d *Distributor) takeMissingTargets(now ids.Time, proxy membership.Member, p *progress, all []targets.Target) ([]targets.Target, []targetVersion) {
	isBackup := d.IsBackup != nil && d.IsBackup(proxy)
	p.hasUnsent = false
	var missing []targets.Target
	var versions []targetVersion
	for _, target := range all {
		version := versionOf(target)
		item, inFlight := p.inFlight[target.Instance]
		unchanged := inFlight && item.targetVersion == version
		switch {
		case p.acknowledged[target.Instance] == version:
			continue
		case !unchanged && isBackup && target.Usable():
			// As if it had been sent, so that it goes once the time for that is over.
			p.inFlight[target.Instance] = inFlightItem{targetVersion: version, retryAt: now.Add(backupDelay)}
			p.hasUnsent = true
			continue
		case !p.shouldSend(now, item, unchanged):
			p.hasUnsent = true
			continue
		}
		missing, versions = append(missing, target), append(versions, version)
	}
	retryAt := now.Add(p.retryTimeout + time.Duration(len(versions))*retryTimeoutPerTarget)
	for _, version := range versions {
		p.inFlight[version.id] = inFlightItem{targetVersion: version, retryAt: retryAt}
	}
	return missing, versions
}

// ConfirmTargets notes that a proxy goes by all of these, as its own sum showed.
func (d *Distributor) ConfirmTargets(proxy ids.DaemonID, runID ids.RunID, confirmed []targets.Target) {
	p := d.proxies[proxy]
	if p == nil || p.runID != runID {
		return
	}
	for _, target := range confirmed {
		p.acknowledged[target.Instance] = versionOf(target)
	}
	clear(p.unacknowledged)
	clear(p.inFlight)
	p.hasUnsent = false
}

// Knows tells whether a proxy is known to go by what is of some version.
func (d *Distributor) IsCurrent(proxy ids.DaemonID, runID ids.RunID) bool {
	p := d.proxies[proxy]
	return p != nil && p.runID == runID && len(p.unacknowledged) == 0 && !p.hasUnsent
}

// Lagging tells who among the proxies hasn't acknowledged a revision, and for
// how long a proxy has said nothing at all.
func (d *Distributor) Lagging(proxies []membership.Member, revision ids.Revision) []ids.DaemonID {
	var out []ids.DaemonID
	for _, proxy := range proxies {
		if p := d.proxies[proxy.ID]; p == nil || p.runID != proxy.RunID || p.ackedRevision < revision {
			out = append(out, proxy.ID)
		}
	}
	return out
}

// AllAcknowledged tells whether every proxy has acknowledged that a target leaves.
func (d *Distributor) AllAcknowledged(proxies []membership.Member, target targets.Target) bool {
	for _, proxy := range proxies {
		p := d.proxies[proxy.ID]
		if p == nil || p.runID != proxy.RunID {
			return false
		}
		if acknowledged := p.acknowledged[target.Instance]; acknowledged.incarnation < target.Incarnation || acknowledged.incarnation == target.Incarnation && acknowledged.sequence < target.Sequence {
			return false
		}
	}
	return true
}

// AcknowledgedWithin tells whether a proxy has acknowledged anything of late.
func (d *Distributor) AcknowledgedWithin(now ids.Time, proxy membership.Member, within time.Duration) bool {
	p := d.proxies[proxy.ID]
	return p != nil && p.runID == proxy.RunID && p.lastAcked > 0 && now.Sub(p.lastAckAt) <= within
}

// AcknowledgedRevision gives the revision that a proxy acknowledged.
func (d *Distributor) AcknowledgedRevision(proxy membership.Member) ids.Revision {
	if p := d.proxies[proxy.ID]; p != nil && p.runID == proxy.RunID {
		return p.ackedRevision
	}
	return 0
}
