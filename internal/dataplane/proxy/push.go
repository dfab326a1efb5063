package proxy

import (
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/distribution"
)

// receivedPush is a received push that isn't acknowledged yet.
type receivedPush struct {
	from   ids.Address
	number ids.StreamNumber
}

// handlePush merges a registry's push. The push is acknowledged after the dispatchers have
// received its contents, which refreshDispatchers may delay.
func (c *Control) handlePush(now ids.Time, from ids.Address, push distribution.Push) {
	if push.Revision > c.view.Revision && len(push.Configuration) > 0 {
		c.adoptConfiguration(now, push.Configuration)
	}
	if c.hasKnownAge(now, push) {
		c.targets.MergeAsOf(now, push.EchoedTime, push.Targets...)
		c.targetsConfirmedAt, c.targetsReceived = max(c.targetsConfirmedAt, push.TargetsAsOf()), true
		c.confirmConfiguration(now, push.Revision, push.ConfirmedAsOf())
	} else {
		c.targets.Merge(now, push.Targets...)
	}
	c.unacknowledged = append(c.unacknowledged, receivedPush{from, push.Number})
	c.refreshDispatchers(now)
}

// hasKnownAge reports whether a push has a known maximum age. It may have waited in a socket
// while this process was paused, so its age is derived only from the time that it echoes, which
// must belong to this run and must not be in the future.
func (c *Control) hasKnownAge(now ids.Time, push distribution.Push) bool {
	return push.EchoedTime != 0 && push.ProxyRunID == c.Self.RunID && push.EchoedTime <= now
}

// acknowledge acknowledges all unacknowledged pushes, in order of arrival.
func (c *Control) acknowledge(now ids.Time) {
	for _, push := range c.unacknowledged {
		c.Send(push.from, distribution.Ack{
			Proxy: c.Self.ID, RunID: c.Self.RunID, Number: push.number,
			Revision: c.view.Revision, Now: now, TargetsDigest: c.targets.ProxyDigest(),
		})
	}
	c.unacknowledged = nil
}
