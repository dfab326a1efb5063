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
	// pageNumber numbers the page that is waited for.
	pageNumber uint64
	// afterKey is where a pass over everything goes on.
	afterKey ids.RegisterKey
	// passRunning tells that a pass is under way, set is the voter set that its first
	// page was given under.
	passRunning  bool
	passVoterSet uint64
	// runID and changes are where the next pass begins; whole tells that one over
	// everything has ended, so that changes are enough.
	runID        uint64
	changeCount  uint64
	fullPassDone bool
	// lastPassVoterSet is the voter set under which the last pass that ended began.
	lastPassVoterSet uint64
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

// BeginPass starts a pass over what a voter holds.
func (c *Copier) BeginPass(id uint64) {
	s := c.source(id)
	s.passRunning, s.passVoterSet, s.afterKey = true, 0, ""
	s.pageNumber++
}

// IsCopying tells whether a pass is under way.
func (c *Copier) IsCopying(id uint64) bool { return c.source(id).passRunning }

// LastPassVoterSet gives the voter set under which the last pass that ended began.
func (c *Copier) LastPassVoterSet(id uint64) uint64 { return c.source(id).lastPassVoterSet }

// NextRequest gives the question for the page that is waited for.
func (c *Copier) NextRequest(id, number uint64) PageRequest {
	s := c.source(id)
	q := PageRequest{VoterSetNumber: number, AfterKey: s.afterKey, PageNumber: s.pageNumber}
	if s.fullPassDone {
		q.RunID, q.SinceChange = s.runID, s.changeCount
	}
	return q
}

// HandlePage notes where a page leaves the copy; false for one that isn't waited for.
// The records must have been merged before the next event.
func (c *Copier) HandlePage(m PageResponse) bool {
	s := c.source(m.Store)
	if !s.passRunning || m.PageNumber != s.pageNumber {
		return false
	}
	first := s.passVoterSet == 0
	if first {
		s.passVoterSet = m.VoterSetNumber
	}
	switch {
	case m.Delta:
		s.changeCount = m.ChangeCount
	case first:
		// A pass over everything; what changes from here on is asked for after it.
		s.fullPassDone, s.runID, s.changeCount = false, m.RunID, m.ChangeCount
	case m.RunID != s.runID:
		// Its run ended between two pages: it no longer knows what changed.
		s.runID = 0
	}
	if !m.Delta && len(m.Records) > 0 {
		s.afterKey = m.Records[len(m.Records)-1].Key
	}
	s.pageNumber++
	if m.Last {
		s.passRunning, s.lastPassVoterSet = false, s.passVoterSet
		s.fullPassDone = s.runID != 0
	}
	return true
}

// HasCopiedQuorum tells whether a majority of a voter set has given all that it held at
// some time, so that only what changed since is left to copy.
func (c *Copier) HasCopiedQuorum(set VoterSet) bool {
	given := map[uint64]bool{}
	for id, s := range c.sources {
		given[id] = s.lastPassVoterSet > 0
	}
	return set.Number > 0 && VoterSet{Voters: set.Voters}.IsQuorum(given)
}

// IsCompleteFor tells whether a majority of a voter set, or of the one before the
// last replacement, has given all that it held when it already went by the voter
// set in force, so that nothing can be agreed any more under an earlier one that
// this copy lacks. In a joint voter set the majority is that of the old stores.
func (c *Copier) IsCompleteFor(set VoterSet) bool {
	sealed := map[uint64]bool{}
	for id, s := range c.sources {
		sealed[id] = s.lastPassVoterSet >= set.Number
	}
	return set.Number > 0 && (VoterSet{Voters: set.Voters}.IsQuorum(sealed) || VoterSet{Voters: set.Previous}.IsQuorum(sealed))
}

// CopySources are the voters that a newcomer may copy from.
func (s VoterSet) CopySources() []Voter {
	return VoterSet{Voters: s.Voters, Incoming: s.Previous}.AllVoters()
}

// IsCopySource tells whether a newcomer may copy from a store at an address.
func (s VoterSet) IsCopySource(from ids.Address, id uint64) bool {
	return slices.Contains(s.CopySources(), Voter{ID: id, Address: from})
}
