package proxy

import (
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/targets"
	"dunlinwell/internal/transport/wire"
)

// LeaseRequest asks another proxy for configuration and targets and how recently they
// were confirmed, when this proxy's registries are out of reach or can't confirm either.
type LeaseRequest struct {
	Proxy ids.DaemonID
	RunID ids.RunID
	// Revision is what the asking proxy has; a newer configuration is sent along.
	Revision ids.Revision
	// Now is the asking proxy's own time, echoed in the reply.
	Now ids.Time
}

// LeaseGossip is the reply to a LeaseRequest. It hands out no lease: the asking proxy
// computes its own from what was confirmed to the other one, and when. The asking proxy
// counts the ages from EchoedTime, so the time on the wire, both ways, shortens its lease
// and never lengthens it.
type LeaseGossip struct {
	// ProxyRunID is the run of the asking proxy that EchoedTime belongs to.
	ProxyRunID    ids.RunID
	EchoedTime    ids.Time
	Revision      ids.Revision
	Configuration []byte
	Targets       []targets.Target
	// ConfigurationAgeMillis and TargetsAge are how long ago, in milliseconds, the replying
	// proxy's configuration and targets were confirmed.
	ConfigurationAgeMillis, TargetsAgeMillis uint32
}

var _ = wire.Register(82, LeaseRequest{}) && wire.Register(83, LeaseGossip{})

// gossipState says when and whom this proxy last asked.
type gossipState struct {
	lastRequest ids.Time
	// peerCursor counts requests, so that peers are asked in turn.
	peerCursor int
}

const (
	// gossipAfter is how old the last confirmation must be before peers are asked.
	// Pushes come several times a second, so nothing is asked in normal operation.
	gossipAfter = 1200 * time.Millisecond
	// gossipInterval is the time between requests: six of them fit in between
	// gossipAfter and the end of DefaultLease.
	gossipInterval = 200 * time.Millisecond
	// gossipFanout is how many peers are asked at a time.
	gossipFanout = 2
)

// requestLease asks some other proxies if neither registries nor stores have confirmed
// anything for gossipAfter.
func (c *Control) requestLease(now ids.Time) {
	if c.Lease == EndlessLease || now.Sub(c.confirmedAt()) < gossipAfter || now.Sub(c.lastRequest) < gossipInterval {
		return
	}
	c.lastRequest = now
	var peers []membership.Member
	for _, m := range c.Live(membership.Proxy) {
		if m.ID != c.Self.ID {
			peers = append(peers, m)
		}
	}
	for range min(gossipFanout, len(peers)) {
		c.peerCursor++
		peer := peers[c.peerCursor%len(peers)]
		c.Send(peer.Address, LeaseRequest{Proxy: c.Self.ID, RunID: c.Self.RunID, Revision: c.view.Revision, Now: now})
	}
}

// answerLeaseRequest replies to another proxy. One that is declared dead gets no reply:
// its concurrency slots and retry budget are about to be shared out among the others.
func (c *Control) answerLeaseRequest(now ids.Time, from ids.Address, request LeaseRequest) {
	m, known := c.Get(request.Proxy)
	if !known || m.Dead || m.RunID != request.RunID || !c.leaseValid(now) {
		return
	}
	reply := LeaseGossip{
		ProxyRunID: request.RunID, EchoedTime: request.Now, Revision: c.view.Revision, Targets: c.targets.All(now),
		ConfigurationAgeMillis: uint32(now.Sub(c.configurationConfirmedAt) / time.Millisecond),
		TargetsAgeMillis:       uint32(now.Sub(c.targetsConfirmedAt) / time.Millisecond),
	}
	if request.Revision < c.view.Revision {
		reply.Configuration = c.configuration.Encode(false)
	}
	c.Send(from, reply)
}

// handleLeaseGossip takes over what another proxy knows.
func (c *Control) handleLeaseGossip(now ids.Time, from ids.Address, gossip LeaseGossip) {
	// A reply to an earlier run of this process may be of any age.
	if gossip.ProxyRunID != c.Self.RunID || gossip.EchoedTime > now {
		c.Discard(from, event.Unsolicited, LeaseGossip{})
		return
	}
	if gossip.Revision > c.view.Revision && len(gossip.Configuration) > 0 {
		c.adoptConfiguration(now, gossip.Configuration)
	}
	targetsAsOf := gossip.EchoedTime.Add(-roundedUpAge(gossip.TargetsAgeMillis))
	c.targets.MergeAsOf(now, targetsAsOf, gossip.Targets...)
	c.targetsConfirmedAt = max(c.targetsConfirmedAt, targetsAsOf)
	c.confirmConfiguration(now, gossip.Revision, gossip.EchoedTime.Add(-roundedUpAge(gossip.ConfigurationAgeMillis)))
	c.refreshDispatchers(now)
}

// roundedUpAge converts an age in whole milliseconds from the wire. The sender rounded
// down, so one millisecond is added: an age must never seem shorter than it is.
func roundedUpAge(millis uint32) time.Duration { return time.Duration(millis+1) * time.Millisecond }
