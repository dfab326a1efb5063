package counter

import (
	"time"

	"dunlinwell/internal/parcel"
	"dunlinwell/internal/rollcall"
	"dunlinwell/internal/ticket"
	"dunlinwell/internal/yard"
)

// Inquiry asks another counter for what is in force: this one's foremen are
// out of reach, or know no better themselves.
type Inquiry struct {
	Counter  ticket.Daemon
	Start    ticket.Start
	Revision ticket.Revision
	// Now is the asker's own time, to be echoed.
	Now ticket.Tick
}

// Tidings answer it: what the other counter goes by, and how long ago that was
// known to be in force. The travel, both ways, is counted against it.
type Tidings struct {
	For      ticket.Start
	Echo     ticket.Tick
	Revision ticket.Revision
	Policy   []byte
	Targets  []yard.Target
	// Agreed and Word are the ages, in milliseconds, of the agreement and of
	// the foreman's word that the other goes by.
	Agreed, Word uint32
}

var _ = parcel.Register(82, Inquiry{}) && parcel.Register(83, Tidings{})

// hearsay is what a counter knows of asking others.
type hearsay struct {
	since ticket.Tick
	turn  int
}

const (
	// inquireAfter is how old the knowledge must be: pushes come far sooner.
	inquireAfter = 1200 * time.Millisecond
	inquireEvery = 200 * time.Millisecond
	// inquireOf is how many others are asked at a time, in turn.
	inquireOf = 2
)

// inquire asks other counters, once foremen and stockrooms have not answered.
func (c *Control) inquire(now ticket.Tick) {
	if c.Lease == Endless || now.Since(c.sure()) < inquireAfter || now.Since(c.since) < inquireEvery {
		return
	}
	c.since = now
	var others []rollcall.Member
	for _, m := range c.Live(rollcall.Counter) {
		if m.ID != c.Self.ID {
			others = append(others, m)
		}
	}
	for range min(inquireOf, len(others)) {
		c.turn++
		c.Tell(others[c.turn%len(others)].Address, Inquiry{Counter: c.Self.ID, Start: c.Self.Start, Revision: c.view.Revision, Now: now})
	}
}

// inquired answers another counter. One that counts as gone gets no answer: its
// places and its retries are about to be divided among the others.
func (c *Control) inquired(now ticket.Tick, from ticket.Address, q Inquiry) {
	m, ok := c.Get(q.Counter)
	if !ok || m.Gone || m.Start != q.Start || !c.inStep(now) {
		return
	}
	t := Tidings{For: q.Start, Echo: q.Now, Revision: c.view.Revision, Targets: c.yard.All(now),
		Agreed: uint32(now.Since(c.agreed) / time.Millisecond), Word: uint32(now.Since(c.word) / time.Millisecond)}
	if q.Revision < c.view.Revision {
		t.Policy = c.policy.Pack(false)
	}
	c.Tell(from, t)
}

// tidings take what another counter goes by.
func (c *Control) tidings(now ticket.Tick, t Tidings) {
	// What was meant for an earlier run of ours may be any age.
	if t.For != c.Self.Start {
		return
	}
	if t.Revision > c.view.Revision && len(t.Policy) > 0 {
		c.adopt(now, t.Policy)
	}
	known := t.Echo.Add(-age(t.Word))
	c.yard.MergeAsOf(now, known, t.Targets...)
	c.word = max(c.word, known)
	c.confirm(t.Revision, t.Echo.Add(-age(t.Agreed)))
	c.restock(now)
}
