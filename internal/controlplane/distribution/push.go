package distribution

import (
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/targets"
)

const (
	// retryTimeoutPerTarget extends the retry timeout for each target in a push, because a large
	// push takes longer on a slow link.
	retryTimeoutPerTarget = 5 * time.Millisecond
	// backupDelay is how long a registry delays usable targets to a proxy that another registry
	// pushes to first. It is longer than that push and its acknowledgement usually take.
	backupDelay = 700 * time.Millisecond
)

// pushTo sends a proxy what it lacks if a push is due: the content changed, a push was lost or
// wasn't acknowledged in time, or RefreshInterval has passed since the last push.
func (d *Distributor) pushTo(now ids.Time, proxy membership.Member, p *proxyState, content Content) {
	changed := p.contentVersion != content.Version
	incomplete := p.isIncomplete(content.Revision)
	retryDue := incomplete && now.Sub(p.lastSentAt) >= p.retryTimeout
	refreshDue := d.isRefreshDue(now, p)
	if !changed && !retryDue && !refreshDue && !p.resendNow {
		return
	}
	push := d.newPush(p, content)
	push.Configuration = p.takeConfiguration(now, push.Number, content)
	var versions []targetVersion
	if changed || incomplete {
		push.Targets, versions = d.takeMissingTargets(now, proxy, p, content.Targets())
	}
	p.contentVersion, p.resendNow = content.Version, false
	isEmpty := len(versions) == 0 && len(push.Configuration) == 0
	if d.SkipEmptyPushes && isEmpty && !refreshDue {
		return
	}
	if incomplete {
		p.backOff(now)
	}
	p.recordSent(now, versions)
	d.out.Send(proxy.Address, push)
}

// backOff doubles the retry timeout, up to maxRetryTimeout, if the proxy has acknowledged nothing
// within it.
func (p *proxyState) backOff(now ids.Time) {
	if now.Sub(p.lastAckAt) >= p.retryTimeout {
		p.retryTimeout = min(2*p.retryTimeout, maxRetryTimeout)
	}
}

// isRefreshDue reports whether a push to a proxy is due even if nothing changed. The first
// acknowledgement is echoed immediately, because until then the proxy can't determine the age of a
// push, and doesn't accept it as confirmation that its configuration is in force.
func (d *Distributor) isRefreshDue(now ids.Time, p *proxyState) bool {
	firstEcho := p.echoedTime == 0 && p.proxyTime != 0
	return firstEcho || now.Sub(p.lastSentAt) >= d.RefreshInterval
}

// newPush returns the next push to a proxy, without configuration and targets.
func (d *Distributor) newPush(p *proxyState, content Content) Push {
	return Push{
		Number:        p.lastPush + 1,
		RunID:         d.runID,
		Revision:      content.Revision,
		ReadAgeMillis: readAgeMillis(content.ReadAge),
		EchoedTime:    p.proxyTime,
		ProxyRunID:    p.runID,
	}
}

// takeConfiguration returns the configuration for a push and records it as in flight. It returns nil
// if the proxy has the newest configuration or that is in flight already.
func (p *proxyState) takeConfiguration(now ids.Time, number ids.StreamNumber, content Content) []byte {
	if p.ackedRevision >= content.Revision {
		return nil
	}
	isInFlight := p.configuration.revision == content.Revision
	if isInFlight && now < p.configuration.retryAt {
		return nil
	}
	raw := content.Configuration(p.ackedRevision)
	p.configuration = inFlightConfiguration{revision: content.Revision, retryAt: now.Add(p.retryTimeout), push: number}
	return raw
}

// takeMissingTargets returns the targets that a proxy lacks and that aren't in flight, with their
// versions, and records them as in flight.
func (d *Distributor) takeMissingTargets(now ids.Time, proxy membership.Member, p *proxyState, all []targets.Target) ([]targets.Target, []targetVersion) {
	isBackup := d.IsBackup != nil && d.IsBackup(proxy)
	p.hasUnsent = false
	var missing []targets.Target
	var versions []targetVersion
	for _, target := range all {
		version := versionOf(target)
		if p.acknowledged[target.Instance] == version {
			continue
		}
		retryAt, isInFlight := p.isInFlight(version)
		if !isInFlight && isBackup && target.Usable() {
			// Recorded as in flight without being sent, so that it is sent after backupDelay.
			p.inFlight[target.Instance] = inFlightTarget{targetVersion: version, retryAt: now.Add(backupDelay)}
			p.hasUnsent = true
			continue
		}
		if isInFlight && now < retryAt {
			p.hasUnsent = true
			continue
		}
		missing, versions = append(missing, target), append(versions, version)
	}
	retryAt := now.Add(p.retryTimeout + time.Duration(len(versions))*retryTimeoutPerTarget)
	for _, version := range versions {
		p.inFlight[version.id] = inFlightTarget{targetVersion: version, retryAt: retryAt}
	}
	return missing, versions
}
