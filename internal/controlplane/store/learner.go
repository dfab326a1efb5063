package store

import (
	"slices"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/consensus"
)

// learner is a store without a vote that copies what the voters hold. It begins
// as soon as it knows who they are, whether or not a place is free, and may vote
// once its copy is complete under a voter set that it belongs to.
type learner struct {
	consensus.Copier
	pageRequests map[uint64]*pageRequest
	// nextRequestAt is when this learner asks for a change once more.
	nextRequestAt ids.Time
	// startedAt is when this run first learned, for the log.
	startedAt ids.Time
}

// pageRequest is when a voter was asked for the page that is waited for.
type pageRequest struct {
	sentAt  ids.Time
	timeout time.Duration
	// voterSetNumber is the voter set that it was asked under.
	voterSetNumber uint64
	// passEndedAt is when the last pass ended.
	passEndedAt ids.Time
}

const (
	learnerRequestInterval = 100 * time.Millisecond
	// initialPageTimeout is how long an answer is waited for at first; it doubles, as a
	// page may take long on a slow link.
	initialPageTimeout  = 400 * time.Millisecond
	maxPageTimeout      = 8 * time.Second
	copyRefreshInterval = 2 * time.Second
)

// tickLearner is the learner's share of each clock event.
func (s *Store) tickLearner(now ids.Time) {
	voterSet := s.Acceptor.VoterSet()
	switch {
	case voterSet.Number == 0:
		// Nobody has told it yet whom to copy from; manageVoters says hello.
	case s.DiskState() == consensus.Blank:
		if s.learnerRequestDue(now) {
			s.replaceLostVoter(now, voterSet)
		}
		s.copyRegisters(now, voterSet)
	case s.DiskState() == consensus.Complete && s.learnerRequestDue(now):
		s.reportCopyComplete(voterSet)
	}
}

// reportCopyComplete asks for this store to be counted as one that votes.
func (s *Store) reportCopyComplete(voterSet consensus.VoterSet) {
	oldVoters := consensus.VoterSet{Voters: voterSet.Voters}
	switch {
	case slices.Contains(voterSet.Learners, s.StoreID()):
		s.submitVoterSetRequest(consensus.OpPromoteLearner, consensus.PromoteLearnerRequest{ID: s.StoreID()})
	case voterSet.HasVoter(s.StoreID()) && !oldVoters.HasVoter(s.StoreID()):
		s.submitVoterSetRequest(consensus.OpFinalize, consensus.VoterSetNumber{Number: voterSet.Number})
	}
}

func (s *Store) learnerRequestDue(now ids.Time) bool {
	if s.learner.startedAt == 0 {
		s.learner.startedAt = now
	}
	if now < s.learner.nextRequestAt {
		return false
	}
	s.learner.nextRequestAt = now.Add(learnerRequestInterval)
	return true
}

// copyRegisters asks each voter for what is wanted of it.
func (s *Store) copyRegisters(now ids.Time, voterSet consensus.VoterSet) {
	for _, v := range voterSet.CopySources() {
		if v.ID == s.StoreID() {
			continue
		}
		request := s.learner.pageRequest(v.ID)
		switch busy := s.learner.IsCopying(v.ID); {
		case busy && request.voterSetNumber != voterSet.Number:
			s.requestPage(now, v, voterSet.Number)
		case busy && now.Sub(request.sentAt) >= request.timeout:
			// It may not have heard of this voter set.
			s.Send(v.Address, consensus.VoterSetUpdate{VoterSet: voterSet})
			request.timeout = min(2*request.timeout, maxPageTimeout)
			s.requestPage(now, v, voterSet.Number)
		case !busy && s.needsCopyPass(now, v.ID, voterSet):
			s.learner.BeginPass(v.ID)
			request.timeout = initialPageTimeout
			s.requestPage(now, v, voterSet.Number)
		}
	}
}

func (l *learner) pageRequest(id uint64) *pageRequest {
	if l.pageRequests == nil {
		l.pageRequests = map[uint64]*pageRequest{}
	}
	if l.pageRequests[id] == nil {
		l.pageRequests[id] = &pageRequest{}
	}
	return l.pageRequests[id]
}

// needsCopyPass tells whether a voter is to be copied from once more: never yet, or
// not since it went by the voter set in force, or while one may be replaced.
func (s *Store) needsCopyPass(now ids.Time, id uint64, voterSet consensus.VoterSet) bool {
	copiedUnder := s.learner.LastPassVoterSet(id)
	if copiedUnder == 0 {
		return true
	}
	if voterSet.HasVoter(s.StoreID()) {
		return copiedUnder < voterSet.Number
	}
	return len(s.silentSince) > 0 && now.Sub(s.learner.pageRequest(id).passEndedAt) >= copyRefreshInterval
}

func (s *Store) requestPage(now ids.Time, v consensus.Voter, number uint64) {
	request := s.learner.pageRequest(v.ID)
	request.sentAt, request.voterSetNumber = now, number
	s.Send(v.Address, s.learner.NextRequest(v.ID, number))
}

// handlePage merges a page, and asks for the next.
func (s *Store) handlePage(now ids.Time, m consensus.PageResponse) {
	voterSet := s.Acceptor.VoterSet()
	// A page from under another voter set is asked for once more.
	if s.DiskState() != consensus.Blank || m.VoterSetNumber != voterSet.Number || !s.learner.HandlePage(m) {
		return
	}
	for _, record := range m.Records {
		s.MergeRecord(record)
	}
	request := s.learner.pageRequest(m.Store)
	if m.Last {
		request.passEndedAt = now
		s.completeCopyIfDue(now, voterSet)
		return
	}
	for _, v := range voterSet.CopySources() {
		if v.ID == m.Store {
			request.timeout = initialPageTimeout
			s.requestPage(now, v, voterSet.Number)
		}
	}
}

// completeCopyIfDue lets this store vote once its copy is complete.
func (s *Store) completeCopyIfDue(now ids.Time, voterSet consensus.VoterSet) {
	if !voterSet.HasVoter(s.StoreID()) || !s.learner.IsCompleteFor(voterSet) {
		return
	}
	s.MarkComplete()
	took := now.Sub(s.learner.startedAt)
	s.Log(event.LevelInfo, "copy complete", "voter_set", formatUint(voterSet.Number), "ms", formatUint(uint64(took.Milliseconds())))
	s.reportCopyComplete(voterSet)
}
