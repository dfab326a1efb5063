package consensus

import "dunlinwell/internal/base/ids"

// Copier tracks a learner's copies of the voters' registers. Each copy is made in passes: the
// first pass reads all registers of a voter, later passes read those that changed since the
// previous pass began. The zero Copier is ready to use.
type Copier struct{ sources map[uint64]*copySource }

// copySource is the progress of the copy from one voter.
type copySource struct {
	// pageNumber is the number of the expected page.
	pageNumber uint64
	// afterKey is the last key that a full pass has read.
	afterKey    ids.RegisterKey
	passRunning bool
	// passVoterSet is the number of the voter set under which the running pass received
	// its first page, 0 before that.
	passVoterSet uint64
	// runID and changeCount are the position where the next pass starts if fullPassDone
	// is set, which means that a full pass has completed. A runID of 0 means that the
	// voter restarted during the full pass.
	runID        uint64
	changeCount  uint64
	fullPassDone bool
	// lastPassVoterSet is the number of the voter set under which the last completed
	// pass received its first page, 0 for none.
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

// BeginPass starts a pass over a voter's registers.
func (c *Copier) BeginPass(id uint64) {
	s := c.source(id)
	s.passRunning, s.passVoterSet, s.afterKey = true, 0, ""
	s.pageNumber++
}

// IsCopying reports whether a pass over a voter is running.
func (c *Copier) IsCopying(id uint64) bool { return c.source(id).passRunning }

// LastPassVoterSet returns the number of the voter set under which the last completed pass
// over a voter began, 0 for none.
func (c *Copier) LastPassVoterSet(id uint64) uint64 { return c.source(id).lastPassVoterSet }

// NextRequest returns the request for the next page from a voter.
func (c *Copier) NextRequest(id, voterSetNumber uint64) PageRequest {
	s := c.source(id)
	request := PageRequest{VoterSetNumber: voterSetNumber, AfterKey: s.afterKey, PageNumber: s.pageNumber}
	if s.fullPassDone {
		request.RunID, request.SinceChange = s.runID, s.changeCount
	}
	return request
}

// HandlePage processes a page and reports whether it was the expected one. If so, the caller
// must merge its records before the next event.
func (c *Copier) HandlePage(m PageResponse) bool {
	s := c.source(m.Store)
	if !s.passRunning || m.PageNumber != s.pageNumber {
		return false
	}
	isFirstPage := s.passVoterSet == 0
	if isFirstPage {
		s.passVoterSet = m.VoterSetNumber
	}
	switch {
	case m.Delta:
		s.changeCount = m.ChangeCount
	case isFirstPage:
		// A full pass begins. The next pass reads what changes from here on.
		s.fullPassDone, s.runID, s.changeCount = false, m.RunID, m.ChangeCount
	case m.RunID != s.runID:
		// The voter restarted between two pages and lost its list of changes.
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

// HasCopiedQuorum reports whether a pass over each of a majority of a voter set has completed,
// so that only later changes are left to copy.
func (c *Copier) HasCopiedQuorum(set VoterSet) bool {
	copied := map[uint64]bool{}
	for id, s := range c.sources {
		copied[id] = s.lastPassVoterSet > 0
	}
	return set.Number > 0 && VoterSet{Voters: set.Voters}.IsQuorum(copied)
}

// IsCompleteFor reports whether the copy includes every value that can have been chosen under
// an earlier voter set. That holds once a majority of the set, or of the set before the last
// replacement, was copied while already using this set or a later one. In a joint voter set
// the majority is that of the old voters.
func (c *Copier) IsCompleteFor(set VoterSet) bool {
	copied := map[uint64]bool{}
	for id, s := range c.sources {
		copied[id] = s.lastPassVoterSet >= set.Number
	}
	current, previous := VoterSet{Voters: set.Voters}, VoterSet{Voters: set.Previous}
	return set.Number > 0 && (current.IsQuorum(copied) || previous.IsQuorum(copied))
}
