package proxy

import (
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/distribution"
)

// receivedPush is a push that is still to be acknowledged.
type receivedPush struct {
	from   ids.Address
	number ids.StreamNumber
}

// handlePush takes over what a registry pushes. It is acknowledged once the dispatchers
// have it, which refreshDispatchers may delay.
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

// hasKnownAge tells whether a push says how old it can be at most. It may have waited in a
// socket while this process was frozen, so only the time that it echoes proves anything:
// it must be of this run, and not lie in the future.
func (c *Control) hasKnownAge(now ids.Time, push distribution.Push) bool {
	return push.EchoedTime != 0 && push.ProxyRunID == c.Self.RunID && push.EchoedTime <= now
}

// acknowledge answers the pushes whose contents the dispatchers have received, in order.
func (c *Control) acknowledge(now ids.Time) {
	for _, push := range c.unacknowledged {
		c.Send(push.from, distribution.Ack{
			Proxy: c.Self.ID, RunID: c.Self.RunID, Number: push.number,
			Revision: c.view.Revision, Now: now, TargetsDigest: c.targets.ProxyDigest(),
		})
	}
	c.unacknowledged = nil
}
