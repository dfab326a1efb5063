package distribution

import (
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/targets"
)

const (
	// maxUnacknowledged bounds the number of unacknowledged pushes tracked per proxy. When it is
	// reached, the tracked pushes are dropped and their content is sent again.
	maxUnacknowledged = 64
	// maxRetryTimeout bounds the backoff for a proxy that doesn't acknowledge pushes. Refreshes
	// continue during the backoff, and the first acknowledgement of one reveals what was lost.
	maxRetryTimeout = 4800 * time.Millisecond
)

// proxyState is the distributor's state of one run of a proxy.
type proxyState struct {
	// runID is the run of the proxy.
	runID ids.RunID
	// lastPush is the number of the latest push to the proxy.
	lastPush ids.StreamNumber
	// lastAcked is the highest push number that the proxy acknowledged; 0 if none.
	lastAcked ids.StreamNumber
	// ackedRevision is the newest configuration that the proxy acknowledged.
	ackedRevision ids.Revision
	lastAckAt     ids.Time
	lastSentAt    ids.Time
	// inFlight holds the targets that were sent and may still be acknowledged. They aren't sent
	// again in each push, which would congest a slow link.
	inFlight map[ids.InstanceID]inFlightTarget
	// configuration is the configuration in flight; zero if none is.
	configuration inFlightConfiguration
	// retryTimeout is how long a push may remain unacknowledged before its content is sent again.
	// It doubles while nothing is acknowledged.
	retryTimeout time.Duration
	// hasUnsent reports whether the proxy may lack targets that the latest push didn't carry, so
	// that the next push must be checked for missing targets.
	hasUnsent bool
	// resendNow reports whether something was lost, so that the next push isn't delayed until the
	// retry timeout.
	resendNow bool
	// unacknowledged holds the unacknowledged pushes with targets by number. Acknowledgements of
	// configurations are tracked by configuration and ackedRevision.
	unacknowledged map[ids.StreamNumber]sentPush
	// acknowledged holds the version of each target that the proxy has acknowledged.
	acknowledged map[ids.InstanceID]targetVersion
	// contentVersion is the Content.Version that was last compared with the proxy's targets.
	contentVersion uint64
	// proxyTime is the time in the proxy's latest acknowledgement, by the proxy's own clock.
	proxyTime ids.Time
	// echoedTime is the proxyTime that the latest push echoed; 0 before the first push.
	echoedTime ids.Time
}

// targetVersion identifies one state of a target. Two states with the same version are the same for
// proxies.
type targetVersion struct {
	id          ids.InstanceID
	incarnation ids.Incarnation
	sequence    ids.Sequence
	dead        bool
}

// inFlightTarget is a version of a target that was sent and isn't acknowledged yet.
type inFlightTarget struct {
	targetVersion
	// retryAt is when the target is sent again.
	retryAt ids.Time
}

// inFlightConfiguration is a configuration that was sent and isn't acknowledged yet.
type inFlightConfiguration struct {
	revision ids.Revision
	// retryAt is when the configuration is sent again.
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
	return targetVersion{id: t.Instance, incarnation: t.Incarnation, sequence: t.Sequence, dead: t.Dead}
}

// isAtLeast reports whether v identifies the state t of a target or a later state.
func (v targetVersion) isAtLeast(t targets.Target) bool {
	if v.incarnation != t.Incarnation {
		return v.incarnation > t.Incarnation
	}
	return v.sequence >= t.Sequence
}

// isInFlight reports whether a version of a target was sent and may still be acknowledged, and
// returns when it is due for retransmission.
func (p *proxyState) isInFlight(version targetVersion) (retryAt ids.Time, ok bool) {
	sent, ok := p.inFlight[version.id]
	return sent.retryAt, ok && sent.targetVersion == version
}

// isIncomplete reports whether the proxy may lack something.
func (p *proxyState) isIncomplete(newest ids.Revision) bool {
	return len(p.unacknowledged) > 0 || p.ackedRevision < newest || p.hasUnsent
}

// recordSent records that the next push is sent with the given target versions.
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

// acknowledge records that the proxy has applied a push.
func (p *proxyState) acknowledge(push sentPush) {
	for _, version := range push.targets {
		p.acknowledged[version.id] = version
		if p.inFlight[version.id].targetVersion == version {
			delete(p.inFlight, version.id)
		}
	}
}

// detectLost treats unacknowledged pushes before an acknowledged one as lost, because pushes are
// delivered and acknowledged in order.
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

// markLost schedules a target of a lost push to be sent again, unless the proxy has acknowledged that
// version in another push or another version is in flight.
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
