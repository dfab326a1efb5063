package store

import (
	"slices"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/consensus"
)

// learner is the state of a store that copies what the voters hold, since its disk isn't
// complete. It begins as soon as it knows the voter set, whether or not there is room
// for another voter, and may vote once its copy is complete under a voter set that it
// belongs to. (VoterSet.Learners are only those that belong to it already.)
type learner struct {
	consensus.Copier
	// pageRequests is the last request to each voter, by the voter's id.
	pageRequests map[uint64]*pageRequest
	// nextRequestAt is when this learner next asks for a change of the voter set.
	nextRequestAt ids.Time
	// startedAt is when this run began to learn, for the log.
	startedAt ids.Time
}

// pageRequest is the last request for a page of records that went to one voter.
type pageRequest struct {
	sentAt ids.Time
	// timeout is how long after sentAt the request is sent again.
	timeout time.Duration
	// voterSetNumber is that of the voter set in force when it was sent.
	voterSetNumber uint64
	// passEndedAt is when the last pass over this voter's records ended.
	passEndedAt ids.Time
}

const (
	// learnerRequestInterval is how often a learner asks for a change of the voter
	// set. A change that was made already is left alone, so that asking is cheap.
	learnerRequestInterval = 100 * time.Millisecond
	// initialPageTimeout is the time-out of a page's first request; each repetition
	// doubles it, as a page may take long on a slow link.
	initialPageTimeout = 400 * time.Millisecond
	// maxPageTimeout bounds the doubling.
	maxPageTimeout = 8 * time.Second
	// copyRefreshInterval is the time between two passes over one voter while a voter
	// is silent: the copy should be recent when it is needed.
	copyRefreshInterval = 2 * time.Second
)

// tickLearner is the learner's share of each tick.
func (s *Store) tickLearner(now ids.Time) {
	voterSet := s.Acceptor.VoterSet()
	switch {
	case voterSet.Number == 0:
		// There is no known voter to copy from yet; manageVoters sends hellos.
	case s.DiskState() == consensus.Blank:
		if s.learner.startedAt == 0 {
			s.learner.startedAt = now
		}
		if s.takeLearnerTurn(now) {
			s.repairVoterSet(now, voterSet)
		}
		s.copyRegisters(now, voterSet)
	case s.DiskState() == consensus.Complete && s.takeLearnerTurn(now):
		s.reportCopyComplete(voterSet)
	}
}

// reportCopyComplete asks for this store to be counted as a voter with a complete
// copy, where the voter set doesn't do so yet.
func (s *Store) reportCopyComplete(voterSet consensus.VoterSet) {
	switch {
	case slices.Contains(voterSet.Learners, s.StoreID()):
		s.submitVoterSetRequest(consensus.OpPromoteLearner, consensus.PromoteLearnerRequest{ID: s.StoreID()})
	case voterSet.HasVoter(s.StoreID()) && !isCurrentVoter(voterSet, s.StoreID()):
		s.submitVoterSetRequest(consensus.OpFinalize, consensus.VoterSetNumber{Number: voterSet.Number})
	}
}

// takeLearnerTurn reports whether this store may ask for a change of the voter set
// now, and if so puts the next time off by learnerRequestInterval.
func (s *Store) takeLearnerTurn(now ids.Time) bool {
	if now < s.learner.nextRequestAt {
		return false
	}
	s.learner.nextRequestAt = now.Add(learnerRequestInterval)
	return true
}

// copyRegisters requests the next page of each voter, or requests one again that is
// overdue.
func (s *Store) copyRegisters(now ids.Time, voterSet consensus.VoterSet) {
	for _, v := range voterSet.CopySources() {
		if v.ID == s.StoreID() {
			continue
		}
		request := s.learner.pageRequest(v.ID)
		switch isCopying := s.learner.IsCopying(v.ID); {
		case isCopying && request.voterSetNumber != voterSet.Number:
			s.requestPage(now, v, voterSet.Number)
		case isCopying && now.Sub(request.sentAt) >= request.timeout:
			// The voter may not have received this voter set yet.
			s.Send(v.Address, consensus.VoterSetUpdate{VoterSet: voterSet})
			request.timeout = min(2*request.timeout, maxPageTimeout)
			s.requestPage(now, v, voterSet.Number)
		case !isCopying && s.needsCopyPass(now, v.ID, voterSet):
			s.learner.BeginPass(v.ID)
			request.timeout = initialPageTimeout
			s.requestPage(now, v, voterSet.Number)
		}
	}
}

// pageRequest returns the last request to a voter; a zero one if there was none.
func (l *learner) pageRequest(voterID uint64) *pageRequest {
	if l.pageRequests == nil {
		l.pageRequests = map[uint64]*pageRequest{}
	}
	if l.pageRequests[voterID] == nil {
		l.pageRequests[voterID] = &pageRequest{}
	}
	return l.pageRequests[voterID]
}

// needsCopyPass reports whether another pass over a voter's records is needed. A
// store that belongs to the voter set needs one that began under it; one that
// doesn't needs any, and a recent one while a voter is silent.
func (s *Store) needsCopyPass(now ids.Time, voterID uint64, voterSet consensus.VoterSet) bool {
	copiedUnder := s.learner.LastPassVoterSet(voterID)
	if copiedUnder == 0 {
		return true
	}
	if voterSet.HasVoter(s.StoreID()) {
		return copiedUnder < voterSet.Number
	}
	return len(s.silentSince) > 0 && now.Sub(s.learner.pageRequest(voterID).passEndedAt) >= copyRefreshInterval
}

// requestPage sends the request for a voter's next page.
func (s *Store) requestPage(now ids.Time, v consensus.Voter, voterSetNumber uint64) {
	request := s.learner.pageRequest(v.ID)
	request.sentAt, request.voterSetNumber = now, voterSetNumber
	s.Send(v.Address, s.learner.NextRequest(v.ID, voterSetNumber))
}

// handlePage merges a page of records and requests the next. One that was sent under
// another voter set is ignored, and so requested again by copyRegisters.
func (s *Store) handlePage(now ids.Time, m consensus.PageResponse) {
	voterSet := s.Acceptor.VoterSet()
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

// completeCopyIfDue gives this store its vote once its copy is complete under a voter
// set that it belongs to.
func (s *Store) completeCopyIfDue(now ids.Time, voterSet consensus.VoterSet) {
	if !voterSet.HasVoter(s.StoreID()) || !s.learner.IsCompleteFor(voterSet) {
		return
	}
	s.MarkComplete()
	duration := now.Sub(s.learner.startedAt)
	s.Log(event.LevelInfo, logCopyCompleted, "voter_set", formatUint(voterSet.Number), "duration_ms", formatUint(uint64(duration.Milliseconds())))
	s.reportCopyComplete(voterSet)
}
