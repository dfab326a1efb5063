package proxy

import (
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/targets"
	"dunlinwell/internal/transport/wire"
)

// LeaseRequest requests configuration and targets from another proxy, and the ages of their
// confirmations. It is sent when no registry is reachable or can confirm them.
type LeaseRequest struct {
	Proxy ids.DaemonID
	RunID ids.RunID
	// Revision is the requesting proxy's; the reply contains a newer configuration.
	Revision ids.Revision
	// Now is the requesting proxy's time, echoed in the reply.
	Now ids.Time
}

// LeaseGossip is the reply to a LeaseRequest. It doesn't grant a lease: the requesting proxy
// computes its own from the ages of the replying proxy's confirmations. It subtracts the ages
// from EchoedTime, so the round-trip time shortens its lease and never extends it.
type LeaseGossip struct {
	// ProxyRunID is the run of the requesting proxy that EchoedTime belongs to.
	ProxyRunID    ids.RunID
	EchoedTime    ids.Time
	Revision      ids.Revision
	Configuration []byte
	Targets       []targets.Target
	// ConfigurationAgeMillis and TargetsAgeMillis are the ages of the confirmations of the
	// replying proxy's configuration and targets, in milliseconds.
	ConfigurationAgeMillis, TargetsAgeMillis uint32
}

var _ = wire.Register(82, LeaseRequest{}) && wire.Register(83, LeaseGossip{})

// gossipState tracks the lease requests to other proxies.
type gossipState struct {
	lastRequest ids.Time
	// peerCursor counts the requests, to select the peers round-robin.
	peerCursor int
}

const (
	// gossipAfter is the age of the last confirmation after which peers are queried.
	// Registries push several times a second, so this doesn't happen in normal operation.
	gossipAfter = 1200 * time.Millisecond
	// gossipInterval is the minimum time between requests. Several fit between gossipAfter
	// and the end of DefaultLease.
	gossipInterval = 200 * time.Millisecond
	// gossipFanout is the number of peers queried at a time.
	gossipFanout = 2
)

// requestLease sends a LeaseRequest to gossipFanout peers if configuration or targets haven't
// been confirmed for gossipAfter.
func (c *Control) requestLease(now ids.Time) {
	if c.Lease == UnlimitedLease || now.Sub(c.confirmedAt()) < gossipAfter || now.Sub(c.lastRequest) < gossipInterval {
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

// answerLeaseRequest replies to another proxy. It ignores one that was declared dead, whose
// concurrency slots and retry budget are about to be redistributed.
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

// handleLeaseGossip merges the state of another proxy.
func (c *Control) handleLeaseGossip(now ids.Time, from ids.Address, gossip LeaseGossip) {
	// The age of a reply to an earlier run of this process is unknown.
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

// roundedUpAge converts an age received in whole milliseconds. It adds one millisecond because
// the sender rounded down, and an age must not be underestimated.
func roundedUpAge(millis uint32) time.Duration { return time.Duration(millis+1) * time.Millisecond }
