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
	Proxy    ids.Daemon
	Start    ids.RunID
	Revision ids.Revision
	// Now is the client's own time, to be echoed.
	Now ids.Time
}

// Tidings answer it: what the other proxy goes by, and how long ago that was
// known to be in force. The travel, both ways, is counted against it.
type LeaseGossip struct {
	For      ids.RunID
	Echo     ids.Time
	Revision ids.Revision
	Policy   []byte
	Targets  []targets.Target
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
	if c.Lease == Endless || now.Since(c.sure()) < inquireAfter || now.Since(c.since) < inquireEvery {
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
		c.Send(others[c.turn%len(others)].Address, LeaseRequest{Proxy: c.Self.ID, Start: c.Self.Start, Revision: c.view.Revision, Now: now})
	}
}

// inquired answers another proxy. One that counts as gone gets no answer: its
// places and its retries are about to be divided among the others.
func (c *Control) answerLeaseRequest(now ids.Time, from ids.Address, q LeaseRequest) {
	m, ok := c.Get(q.Proxy)
	if !ok || m.Gone || m.Start != q.Start || !c.inStep(now) {
		return
	}
	t := LeaseGossip{For: q.Start, Echo: q.Now, Revision: c.view.Revision, Targets: c.targets.All(now),
		Agreed: uint32(now.Since(c.agreed) / time.Millisecond), Word: uint32(now.Since(c.word) / time.Millisecond)}
	if q.Revision < c.view.Revision {
		t.Policy = c.policy.Pack(false)
	}
	c.Send(from, t)
}

// tidings take what another proxy goes by.
func (c *Control) takeLeaseGossip(now ids.Time, from ids.Address, t LeaseGossip) {
	// What was meant for an earlier run of ours may be any age.
	if t.For != c.Self.Start || t.Echo > now {
		c.Discard(from, event.NotAsked, LeaseGossip{})
		return
	}
	if t.Revision > c.view.Revision && len(t.Policy) > 0 {
		c.adopt(now, t.Policy)
	}
	known := t.Echo.Add(-age(t.Word))
	c.targets.MergeAsOf(now, known, t.Targets...)
	c.word = max(c.word, known)
	c.confirm(now, t.Revision, t.Echo.Add(-age(t.Agreed)))
	c.refreshTargets(now)
}
