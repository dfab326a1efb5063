package distribution

import (
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/targets"
)

const (
	// maxUnacknowledged bounds the pushes remembered for each proxy: ten seconds of them at
	// one every 150 ms, twice what maxRetryTimeout allows. A proxy that is
	// further behind is sent again what the forgotten ones held.
	maxUnacknowledged = 64
	// maxRetryTimeout bounds the back-off for a proxy that acknowledges nothing.
	// Refreshing pushes go on meanwhile, and the first acknowledgement of one shows
	// what was lost, so a long time-out delays little.
	maxRetryTimeout = 4800 * time.Millisecond
)

// proxyState is what the distributor knows of one run of a proxy.
type proxyState struct {
	// runID is the run of the proxy.
	runID ids.RunID
	// lastPush is the number of the latest push to the proxy.
	lastPush ids.StreamNumber
	// lastAcked is the highest number that the proxy acknowledged; 0 if none.
	lastAcked ids.StreamNumber
	// ackedRevision is the newest configuration that the proxy acknowledged.
	ackedRevision ids.Revision
	lastAckAt     ids.Time
	lastSentAt    ids.Time
	// inFlight holds the targets that were sent and may still be acknowledged. They
	// aren't sent again with each push: that would congest a thin or long link.
	inFlight map[ids.InstanceID]inFlightTarget
	// configuration is the configuration in flight; zero if none is.
	configuration inFlightConfiguration
	// retryTimeout is how long what was sent may stay unacknowledged before it is sent
	// again. It doubles while nothing is acknowledged.
	retryTimeout time.Duration
	// hasUnsent says that the proxy lacks something that this push won't or didn't
	// carry, so that the next ones have to be checked for it.
	hasUnsent bool
	// resendNow says that something was lost, and that the next push shouldn't wait
	// for the retry time-out.
	resendNow bool
	// unacknowledged holds the pushes with targets that weren't acknowledged yet, by
	// number. What became of a configuration shows by configuration and ackedRevision.
	unacknowledged map[ids.StreamNumber]sentPush
	// acknowledged holds the version of each target that the proxy has.
	acknowledged map[ids.InstanceID]targetVersion
	// contentVersion is the Content.Version for which it was last looked what the proxy
	// lacks.
	contentVersion uint64
	// proxyTime is the proxy's own clock by its latest acknowledgement.
	proxyTime ids.Time
	// echoedTime is the proxyTime that the latest push echoed; 0 before the first.
	echoedTime ids.Time
}

// targetVersion identifies one state of a target. Two states with the same version
// are the same to proxies.
type targetVersion struct {
	id          ids.InstanceID
	incarnation ids.Incarnation
	sequence    ids.Sequence
	gone        bool
}

// inFlightTarget is a version of a target that was sent and isn't acknowledged yet.
type inFlightTarget struct {
	targetVersion
	// retryAt is when it is sent again.
	retryAt ids.Time
}

// inFlightConfiguration is a configuration that was sent and isn't acknowledged yet.
type inFlightConfiguration struct {
	revision ids.Revision
	// retryAt is when it is sent again.
	retryAt ids.Time
	// push is the number of the push that carried it.
	push ids.StreamNumber
}

// sentPush is a push with targets that isn't acknowledged yet.
type sentPush struct {
	sentAt  ids.Time
	targets []targetVersion
}

// versionOf returns the version of a target.
func versionOf(t targets.Target) targetVersion {
	return targetVersion{id: t.Instance, incarnation: t.Incarnation, sequence: t.Sequence, gone: t.Dead}
}

// reaches reports whether v is a target's state t or a later one.
func (v targetVersion) reaches(t targets.Target) bool {
	if v.incarnation != t.Incarnation {
		return v.incarnation > t.Incarnation
	}
	return v.sequence >= t.Sequence
}

// isInFlight reports whether a version of a target was sent and may still be
// acknowledged, and until when that is waited for.
func (p *proxyState) isInFlight(version targetVersion) (retryAt ids.Time, ok bool) {
	sent, ok := p.inFlight[version.id]
	return sent.retryAt, ok && sent.targetVersion == version
}

// isIncomplete reports whether the proxy may lack something.
func (p *proxyState) isIncomplete(newest ids.Revision) bool {
	return len(p.unacknowledged) > 0 || p.ackedRevision < newest || p.hasUnsent
}

// recordSent notes that the next push is sent with some targets.
func (p *proxyState) recordSent(now ids.Time, versions []targetVersion) {
	p.lastPush++
	if len(p.unacknowledged) >= maxUnacknowledged {
		clear(p.unacknowledged)
		p.hasUnsent = true
	}
	if len(versions) > 0 {
		p.unacknowledged[p.lastPush] = sentPush{sentAt: now, targets: versions}
	}
	p.lastSentAt, p.echoedTime = now, p.proxyTime
}

// acknowledge notes that the proxy has applied a push.
func (p *proxyState) acknowledge(push sentPush) {
	for _, version := range push.targets {
		p.acknowledged[version.id] = version
		if p.inFlight[version.id].targetVersion == version {
			delete(p.inFlight, version.id)
		}
	}
}

// detectLost takes the pushes before an acknowledged one for lost: pushes arrive in
// the order in which they were sent, and are acknowledged in that order.
func (p *proxyState) detectLost(ack Ack) {
	for number, push := range p.unacknowledged {
		if number > ack.Number {
			continue
		}
		for _, version := range push.targets {
			p.markLost(version)
		}
		delete(p.unacknowledged, number)
	}
	sent := p.configuration
	if sent.push != 0 && sent.push < ack.Number && ack.Revision < sent.revision {
		p.configuration, p.resendNow = inFlightConfiguration{}, true
	}
}

// markLost has a target sent again that a lost push carried, unless the proxy has
// that version from another push or a later version is in flight.
func (p *proxyState) markLost(version targetVersion) {
	if p.acknowledged[version.id] == version {
		return
	}
	if _, ok := p.isInFlight(version); !ok {
		return
	}
	delete(p.inFlight, version.id)
	p.hasUnsent, p.resendNow = true, true
}
