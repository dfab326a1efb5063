package distribution

import (
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
)

// sentPush is what one push held, and when it left.
type sentPush struct {
	sentAt  ids.Time
	targets []targetVersion
}

func (d *Distributor) pushTo(now ids.Time, proxy membership.Member, p *progress, content Content) {
	outdated := p.contentVersion != content.Version || p.ackedRevision < content.Revision
	incomplete := len(p.unacknowledged) > 0 || p.ackedRevision < content.Revision || p.hasUnsent
	refreshDue := (p.echoedTime == 0 && p.proxyTime != 0) || now.Sub(p.lastSentAt) >= d.RefreshInterval
	if !refreshDue && !p.resendNow && p.contentVersion == content.Version && (!incomplete || now.Sub(p.lastSentAt) < p.retryTimeout) {
		return
	}
	push := Push{Number: p.lastPush + 1, RunID: d.runID, Revision: content.Revision, EchoedTime: p.proxyTime, ProxyRunID: p.runID, ReadAgeMillis: uint32(min(content.ReadAge/time.Millisecond, 1<<30))}
	if p.ackedRevision < content.Revision && p.shouldSend(now, p.inFlightConfiguration, p.inFlightConfiguration.revision == content.Revision) {
		push.Configuration = content.Configuration(p.ackedRevision)
		p.inFlightConfiguration = inFlightItem{revision: content.Revision, retryAt: now.Add(p.retryTimeout), pushNumber: push.Number}
	}
	var versions []targetVersion
	if outdated || incomplete {
		push.Targets, versions = d.takeMissingTargets(now, proxy, p, content.Targets())
	}
	p.contentVersion, p.resendNow = content.Version, false
	if d.SkipEmptyPushes && !refreshDue && len(versions) == 0 && len(push.Configuration) == 0 {
		return
	}
	p.lastPush++
	// Only the newest few can still be acknowledged; the rest is sent again.
	if len(p.unacknowledged) >= maxUnacknowledged {
		clear(p.unacknowledged)
		p.hasUnsent = true
	}
	if len(versions) > 0 {
		p.unacknowledged[p.lastPush] = sentPush{now, versions}
	}
	if incomplete && now.Sub(p.lastAckAt) >= p.retryTimeout {
		p.retryTimeout = min(2*p.retryTimeout, maxRetryTimeout)
	}
	p.lastSentAt, p.echoedTime = now, p.proxyTime
	d.out.Send(proxy.Address, push)
}

// HandleAck takes a proxy's word.
func (d *Distributor) HandleAck(now ids.Time, ack Ack) {
	p := d.proxies[ack.Proxy]
	if p == nil || p.runID != ack.RunID {
		return
	}
	p.lastAckAt, p.proxyTime = now, max(p.proxyTime, ack.Now)
	p.lastAcked, p.ackedRevision = max(p.lastAcked, ack.Number), max(p.ackedRevision, ack.Revision)
	p.retryTimeout = d.InitialRetryTimeout
	if push, ok := p.unacknowledged[ack.Number]; ok {
		// A full or long link takes its time; what is on it isn't lost.
		p.retryTimeout = min(max(d.InitialRetryTimeout, 2*now.Sub(push.sentAt)), maxRetryTimeout)
		p.acknowledge(push)
	}
	delete(p.unacknowledged, ack.Number)
	p.detectLost(ack)
}

// acknowledge notes that a proxy goes by what a push held.
func (p *progress) acknowledge(push sentPush) {
	for _, version := range push.targets {
		p.acknowledged[version.id] = version
		if p.inFlight[version.id].targetVersion == version {
			delete(p.inFlight, version.id)
		}
	}
}

// detectLost takes what earlier pushes held for lost: pushes arrive in order, and a
// later one has been acknowledged.
func (p *progress) detectLost(ack Ack) {
	for number, push := range p.unacknowledged {
		if number > ack.Number {
			continue
		}
		for _, version := range push.targets {
			if item, inFlight := p.inFlight[version.id]; p.acknowledged[version.id] != version && inFlight && item.targetVersion == version {
				delete(p.inFlight, version.id)
				p.hasUnsent, p.resendNow = true, true
			}
		}
		delete(p.unacknowledged, number)
	}
	if p.inFlightConfiguration.pushNumber != 0 && p.inFlightConfiguration.pushNumber < ack.Number && ack.Revision < p.inFlightConfiguration.revision {
		p.inFlightConfiguration, p.resendNow = inFlightItem{}, true
	}
}
