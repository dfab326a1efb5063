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
	// Agreed and Word are the ages, in milliseconds, of the agreement and of
	// the registry's word that the other goes by.
	Agreed, Word uint32
}

var _ = wire.Register(82, LeaseRequest{}) && wire.Register(83, LeaseGossip{})

// lease gossip is what a proxy knows of asking others.
type peerLease struct {
	since ids.Time
	turn  int
}

const (
	// inquireAfter is how old the knowledge must be: pushes come far sooner.
	inquireAfter = 1200 * time.Millisecond
	inquireEvery = 200 * time.Millisecond
	// inquireOf is how many others are asked at a time, in turn.
	inquireOf = 2
)

// inquire asks other proxies, once registries and stores have not answered.
func (c *Control) inquire(now ids.Time) {
	if c.Lease == Endless || now.Sub(c.sure()) < inquireAfter || now.Sub(c.since) < inquireEvery {
		return
	}
	c.since = now
	var others []membership.Member
	for _, m := range c.Live(membership.Proxy) {
		if m.ID != c.Self.ID {
			others = append(others, m)
		}
	}
	for range min(inquireOf, len(others)) {
		c.turn++
		c.Send(others[c.turn%len(others)].Address, LeaseRequest{Proxy: c.Self.ID, RunID: c.Self.RunID, Revision: c.view.Revision, Now: now})
	}
}

// inquired answers another proxy. One that counts as gone gets no answer: its
// places and its retries are about to be divided among the others.
func (c *Control) answerLeaseRequest(now ids.Time, from ids.Address, q LeaseRequest) {
	m, ok := c.Get(q.Proxy)
	if !ok || m.Gone || m.RunID != q.RunID || !c.inStep(now) {
		return
	}
	t := LeaseGossip{
		ProxyRunID: q.RunID, EchoedTime: q.Now, Revision: c.view.Revision, Targets: c.targets.All(now),
		Agreed: uint32(now.Sub(c.agreed) / time.Millisecond), Word: uint32(now.Sub(c.word) / time.Millisecond),
	}
	if q.Revision < c.view.Revision {
		t.Configuration = c.configuration.Encode(false)
	}
	c.Send(from, t)
}

// tidings take what another proxy goes by.
func (c *Control) takeLeaseGossip(now ids.Time, from ids.Address, t LeaseGossip) {
	// What was meant for an earlier run of ours may be any age.
	if t.ProxyRunID != c.Self.RunID || t.EchoedTime > now {
		c.Discard(from, event.Unsolicited, LeaseGossip{})
		return
	}
	if t.Revision > c.view.Revision && len(t.Configuration) > 0 {
		c.adopt(now, t.Configuration)
	}
	known := t.EchoedTime.Add(-age(t.Word))
	c.targets.MergeAsOf(now, known, t.Targets...)
	c.word = max(c.word, known)
	c.confirm(now, t.Revision, t.EchoedTime.Add(-age(t.Agreed)))
	c.refreshTargets(now)
}
