package proxy

import (
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/targets"
	"dunlinwell/internal/transport/wire"
)

// Inquiry asks another proxy for what is in force: this one's registries are
// out of reach, or know no better themselves.
type LeaseRequest struct {
	Proxy    ids.DaemonID
	RunID    ids.RunID
	Revision ids.Revision
	// Now is the client's own time, to be echoed.
	Now ids.Time
}

// Tidings answer it: what the other proxy goes by, and how long ago that was
// known to be in force. The travel, both ways, is counted against it.
type LeaseGossip struct {
	ProxyRunID    ids.RunID
	EchoedTime    ids.Time
	Revision      ids.Revision
	Configuration []byte
	Targets       []targets.Target
	// ConfigurationAge and Word are the ages, in milliseconds, of the agreement and of
	// the registry's word that the other goes by.
	ConfigurationAge, TargetsAge uint32
}

var _ = wire.Register(82, LeaseRequest{}) && wire.Register(83, LeaseGossip{})

// lease gossip is what a proxy knows of asking others.
type gossipState struct {
	lastRequest ids.Time
	peerCursor  int
}

const (
	// gossipAfter is how old the knowledge must be: pushes come far sooner.
	gossipAfter    = 1200 * time.Millisecond
	gossipInterval = 200 * time.Millisecond
	// gossipFanout is how many others are asked at a time, in turn.
	gossipFanout = 2
)

// requestLease asks other proxies, once registries and stores have not answered.
func (c *Control) requestLease(now ids.Time) {
	if c.Lease == EndlessLease || now.Sub(c.confirmedAt()) < gossipAfter || now.Sub(c.lastRequest) < gossipInterval {
		return
	}
	c.lastRequest = now
	var others []membership.Member
	for _, m := range c.Live(membership.Proxy) {
		if m.ID != c.Self.ID {
			others = append(others, m)
		}
	}
	for range min(gossipFanout, len(others)) {
		c.peerCursor++
		c.Send(others[c.peerCursor%len(others)].Address, LeaseRequest{Proxy: c.Self.ID, RunID: c.Self.RunID, Revision: c.view.Revision, Now: now})
	}
}

// inquired answers another proxy. One that counts as gone gets no answer: its
// places and its retries are about to be divided among the others.
func (c *Control) answerLeaseRequest(now ids.Time, from ids.Address, q LeaseRequest) {
	m, ok := c.Get(q.Proxy)
	if !ok || m.Gone || m.RunID != q.RunID || !c.leaseValid(now) {
		return
	}
	t := LeaseGossip{
		ProxyRunID: q.RunID, EchoedTime: q.Now, Revision: c.view.Revision, Targets: c.targets.All(now),
		ConfigurationAge: uint32(now.Sub(c.configurationConfirmedAt) / time.Millisecond), TargetsAge: uint32(now.Sub(c.targetsConfirmedAt) / time.Millisecond),
	}
	if q.Revision < c.view.Revision {
		t.Configuration = c.configuration.Encode(false)
	}
	c.Send(from, t)
}

// tidings take what another proxy goes by.
func (c *Control) handleLeaseGossip(now ids.Time, from ids.Address, t LeaseGossip) {
	// What was meant for an earlier run of ours may be any age.
	if t.ProxyRunID != c.Self.RunID || t.EchoedTime > now {
		c.Discard(from, event.Unsolicited, LeaseGossip{})
		return
	}
	if t.Revision > c.view.Revision && len(t.Configuration) > 0 {
		c.adoptConfiguration(now, t.Configuration)
	}
	known := t.EchoedTime.Add(-roundedUpAge(t.TargetsAge))
	c.targets.MergeAsOf(now, known, t.Targets...)
	c.targetsConfirmedAt = max(c.targetsConfirmedAt, known)
	c.confirmConfiguration(now, t.Revision, t.EchoedTime.Add(-roundedUpAge(t.ConfigurationAge)))
	c.refreshDispatchers(now)
}
