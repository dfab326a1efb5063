package consensus

import (
	"slices"

	"dunlinwell/internal/base/ids"
)

// Copier follows a learner's copies from the voters. A pass goes over everything
// a voter holds, later ones over what changed since the pass before began.
type Copier struct{ sources map[uint64]*copySource }

// copySource is how far the copy from one voter has come.
type copySource struct {
	// request numbers the page that is waited for.
	request uint64
	// after is where a pass over everything goes on.
	after ids.Key
	// begun tells that a pass is under way, set is the voter set that its first
	// page was given under.
	begun bool
	set   uint64
	// epoch and changes are where the next pass begins; whole tells that one over
	// everything has ended, so that changes are enough.
	epoch   uint64
	changes uint64
	whole   bool
	// sealed is the voter set under which the last pass that ended began.
	sealed uint64
}

func (c *Copier) source(id uint64) *copySource {
	if c.sources == nil {
		c.sources = map[uint64]*copySource{}
	}
	if c.sources[id] == nil {
		c.sources[id] = &copySource{}
	}
	return c.sources[id]
}

// Begin starts a pass over what a voter holds.
func (c *Copier) Begin(id uint64) {
	s := c.source(id)
	s.begun, s.set, s.after = true, 0, ""
	s.request++
}

// Busy tells whether a pass is under way.
func (c *Copier) Busy(id uint64) bool { return c.source(id).begun }

// Sealed gives the voter set under which the last pass that ended began.
func (c *Copier) Sealed(id uint64) uint64 { return c.source(id).sealed }

// Request gives the question for the page that is waited for.
func (c *Copier) Request(id, number uint64) PageRequest {
	s := c.source(id)
	q := PageRequest{VoterSet: number, After: s.after, Number: s.request}
	if s.whole {
		q.Epoch, q.Since = s.epoch, s.changes
	}
	return q
}

// Take notes where a page leaves the copy; false for one that isn't waited for.
// The records must have been merged before the next event.
func (c *Copier) Take(m PageResponse) bool {
	s := c.source(m.Store)
	if !s.begun || m.Number != s.request {
		return false
	}
	first := s.set == 0
	if first {
		s.set = m.VoterSet
	}
	switch {
	case m.Delta:
		s.changes = m.Changes
	case first:
		// A pass over everything; what changes from here on is asked for after it.
		s.whole, s.epoch, s.changes = false, m.Epoch, m.Changes
	case m.Epoch != s.epoch:
		// Its run ended between two pages: it no longer knows what changed.
		s.epoch = 0
	}
	if !m.Delta && len(m.Records) > 0 {
		s.after = m.Records[len(m.Records)-1].Key
	}
	s.request++
	if m.Last {
		s.begun, s.sealed = false, s.set
		s.whole = s.epoch != 0
	}
	return true
}

// Copied tells whether a majority of a voter set has given all that it held at
// some time, so that only what changed since is left to copy.
func (c *Copier) Copied(set VoterSet) bool {
	given := map[uint64]bool{}
	for id, s := range c.sources {
		given[id] = s.sealed > 0
	}
	return set.Number > 0 && VoterSet{Voters: set.Voters}.Majority(given)
}

// CompleteUnder tells whether a majority of a voter set, or of the one before the
// last replacement, has given all that it held when it already went by the voter
// set in force, so that nothing can be agreed any more under an earlier one that
// this copy lacks. In a joint voter set the majority is that of the old stores.
func (c *Copier) CompleteUnder(set VoterSet) bool {
	sealed := map[uint64]bool{}
	for id, s := range c.sources {
		sealed[id] = s.sealed >= set.Number
	}
	return set.Number > 0 && (VoterSet{Voters: set.Voters}.Majority(sealed) || VoterSet{Voters: set.Previous}.Majority(sealed))
}

// Sources are the voters that a newcomer may copy from.
func (r VoterSet) Sources() []Voter {
	return VoterSet{Voters: r.Voters, Incoming: r.Previous}.All()
}

// SuppliesCopies tells whether a newcomer may copy from a store at an address.
func (r VoterSet) SuppliesCopies(from ids.Address, id uint64) bool {
	return slices.Contains(r.Sources(), Voter{ID: id, Address: from})
}
