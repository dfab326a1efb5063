package consensus

import "dunlinwell/internal/base/ids"

// Copier tracks a learner's copies of the voters' registers. A copy is made in passes:
// the first reads all that a voter holds, later ones what changed since the pass before
// began. The zero Copier is ready to use.
type Copier struct{ sources map[uint64]*copySource }

// copySource is the progress of the copy from one voter.
type copySource struct {
	// pageNumber is the number of the page that is awaited.
	pageNumber uint64
	// afterKey is the last key that a pass over everything has read.
	afterKey    ids.RegisterKey
	passRunning bool
	// passVoterSet is the number of the voter set under which the running pass got its
	// first page, 0 before that.
	passVoterSet uint64
	// runID and changeCount are where the next pass begins, if fullPassDone says that a
	// pass over everything has ended. A runID of 0 means that the run changed meanwhile.
	runID        uint64
	changeCount  uint64
	fullPassDone bool
	// lastPassVoterSet is the number of the voter set under which the last pass that
	// ended got its first page, 0 for none.
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

// IsCopying reports whether a pass over a voter is running.
func (c *Copier) IsCopying(id uint64) bool { return c.source(id).passRunning }

// LastPassVoterSet returns the number of the voter set under which the last pass over a
// voter that ended had begun, 0 for none.
func (c *Copier) LastPassVoterSet(id uint64) uint64 { return c.source(id).lastPassVoterSet }

// NextRequest returns the request for the page that is awaited from a voter.
func (c *Copier) NextRequest(id, voterSetNumber uint64) PageRequest {
	s := c.source(id)
	request := PageRequest{VoterSetNumber: voterSetNumber, AfterKey: s.afterKey, PageNumber: s.pageNumber}
	if s.fullPassDone {
		request.RunID, request.SinceChange = s.runID, s.changeCount
	}
	return request
}

// HandlePage notes a page and reports whether it was awaited. If so, the caller must merge
// its records before the next event.
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
		// A pass over everything; the next one asks for what changes from here on.
		s.fullPassDone, s.runID, s.changeCount = false, m.RunID, m.ChangeCount
	case m.RunID != s.runID:
		// The voter restarted between two pages: it no longer knows what changed.
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

// HasCopiedQuorum reports whether a majority of a voter set has been copied at least once,
// so that only what changed since is left to copy.
func (c *Copier) HasCopiedQuorum(set VoterSet) bool {
	copied := map[uint64]bool{}
	for id, s := range c.sources {
		copied[id] = s.lastPassVoterSet > 0
	}
	return set.Number > 0 && VoterSet{Voters: set.Voters}.IsQuorum(copied)
}

// IsCompleteFor reports whether the copy lacks nothing that can have been agreed under an
// earlier voter set: a majority of the set, or of the one before the last replacement, has
// been copied while it used the set or a later one already. In a joint voter set the
// majority is that of the old voters.
func (c *Copier) IsCompleteFor(set VoterSet) bool {
	copied := map[uint64]bool{}
	for id, s := range c.sources {
		copied[id] = s.lastPassVoterSet >= set.Number
	}
	current, previous := VoterSet{Voters: set.Voters}, VoterSet{Voters: set.Previous}
	return set.Number > 0 && (current.IsQuorum(copied) || previous.IsQuorum(copied))
}
