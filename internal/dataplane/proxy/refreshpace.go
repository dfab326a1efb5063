package proxy

import (
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/distribution"
)

// refreshPace bounds how often all targets are weighed against all proxies. That
// costs more the larger the fleet; done for each push of a storm (many targets
// found silent at once), it kept a small machine from reading what came next for
// seconds, a change of configuration among it.
type refreshPace struct {
	lastRefresh ids.Time
	// unacknowledged are pushes that dispatchers don't go by yet.
	unacknowledged []receivedPush
}

// receivedPush is what an acknowledgement names.
type receivedPush struct {
	from   ids.Address
	number ids.StreamNumber
}

const (
	// pairCost is what a target and a proxy more cost a refresh, on a tenth of a
	// processor core (measured: 0.88 µs on a whole one).
	pairCost = 10 * time.Microsecond
	// maxRefreshInterval bounds how long news may wait for a refresh: well below the time
	// in which it has to be in force.
	maxRefreshInterval = 400 * time.Millisecond
	// minRefreshInterval is below what waiting for a clock event would save.
	minRefreshInterval = 50 * time.Millisecond
)

// mayDelayRefresh tells whether a refresh may wait for the next clock event after its
// time: what says whether this proxy serves at all never waits.
func (c *Control) mayDelayRefresh(now ids.Time, next stateVersion) bool {
	have := c.sentState
	if have.confirmed != next.confirmed || have.closed != next.closed || have.serving != next.serving {
		return false
	}
	pairs := c.targets.Len() * next.slotHolders
	pace := min(time.Duration(pairs)*pairCost, maxRefreshInterval)
	return c.lastRefresh != 0 && pace >= minRefreshInterval && now.Sub(c.lastRefresh) < pace
}

// acknowledge answers the pushes that dispatchers go by now, in their order.
func (c *Control) acknowledge(now ids.Time) {
	for _, p := range c.unacknowledged {
		c.Send(p.from, distribution.Ack{Proxy: c.Self.ID, RunID: c.Self.RunID, Number: p.number, Revision: c.view.Revision, Now: now, TargetsDigest: c.targets.ProxyDigest()})
	}
	c.unacknowledged = nil
}
