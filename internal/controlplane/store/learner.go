package store

import (
	"slices"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/consensus"
)

// learner is the state of a store that copies the voters' registers because its own disk
// isn't complete. Copying begins once the voter set is known, even if it needs no further
// voter. The store may vote once its copy is complete under a voter set that it belongs
// to. (VoterSet.Learners lists only the learners that already belong to the voter set.)
type learner struct {
	consensus.Copier
	// pageRequests holds the last request to each voter, by the voter's ID.
	pageRequests map[uint64]*pageRequest
	// nextRequestAt is when this learner may next request a change of the voter set.
	nextRequestAt ids.Time
	// startedAt is when this run began to copy, for the log.
	startedAt ids.Time
}

// pageRequest is the last request for a page of records that was sent to one voter.
type pageRequest struct {
	sentAt ids.Time
	// timeout is the time after sentAt at which the request is sent again.
	timeout time.Duration
	// voterSetNumber is the number of the voter set when the request was sent.
	voterSetNumber uint64
	// passEndedAt is when the last pass over this voter's records ended.
	passEndedAt ids.Time
}

const (
	// learnerRequestInterval is the time between two requests of a learner for a change of
	// the voter set. A repeated request has no effect.
	learnerRequestInterval = 100 * time.Millisecond
	// initialPageTimeout is the timeout of the first request for a page. Each retry doubles
	// it, since a page may take long on a slow link.
	initialPageTimeout = 400 * time.Millisecond
	// maxPageTimeout is the upper bound of the doubled timeout.
	maxPageTimeout = 8 * time.Second
	// copyRefreshInterval is the time between two passes over a voter's records while any
	// voter is silent, so that the copy is recent when this store replaces that voter.
	copyRefreshInterval = 2 * time.Second
)

// tickLearner runs the learner's periodic work.
func (s *Store) tickLearner(now ids.Time) {
	voterSet := s.Acceptor.VoterSet()
	switch {
	case voterSet.Number == 0:
		// There is no known voter to copy from yet; manageVoters sends hellos.
	case s.DiskState() == consensus.Incomplete:
		if s.learner.startedAt == 0 {
			s.learner.startedAt = now
		}
		if s.allowLearnerRequest(now) {
			s.repairVoterSet(now, voterSet)
		}
		s.copyRegisters(now, voterSet)
	case s.DiskState() == consensus.Complete && s.allowLearnerRequest(now):
		s.reportCopyComplete(voterSet)
	}
}

// reportCopyComplete requests that the voter set count this store as a voter with a
// complete copy, unless it already does.
func (s *Store) reportCopyComplete(voterSet consensus.VoterSet) {
	switch {
	case slices.Contains(voterSet.Learners, s.StoreID()):
		s.submitVoterSetRequest(consensus.OpPromoteLearner, consensus.PromoteLearnerRequest{ID: s.StoreID()})
	case voterSet.HasVoter(s.StoreID()) && !isCurrentVoter(voterSet, s.StoreID()):
		s.submitVoterSetRequest(consensus.OpFinalize, consensus.VoterSetNumber{Number: voterSet.Number})
	}
}

// allowLearnerRequest reports whether this store may request a change of the voter set now,
// and if so defers the next request by learnerRequestInterval.
func (s *Store) allowLearnerRequest(now ids.Time) bool {
	if now < s.learner.nextRequestAt {
		return false
	}
	s.learner.nextRequestAt = now.Add(learnerRequestInterval)
	return true
}

// copyRegisters starts the passes over the voters' records that are needed, and repeats
// page requests that timed out or were sent under another voter set.
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

// pageRequest returns the last request to a voter, creating an empty one if there is none.
func (l *learner) pageRequest(voterID uint64) *pageRequest {
	if l.pageRequests == nil {
		l.pageRequests = map[uint64]*pageRequest{}
	}
	if l.pageRequests[voterID] == nil {
		l.pageRequests[voterID] = &pageRequest{}
	}
	return l.pageRequests[voterID]
}

// needsCopyPass reports whether another pass over a voter's records is needed. A store in
// the voter set needs a pass that began under that voter set. A store outside it needs one
// pass, and refreshes it while a voter is silent.
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

// handlePage merges a page of records and requests the next one. A page sent under another
// voter set is ignored; copyRegisters requests it again.
func (s *Store) handlePage(now ids.Time, m consensus.PageResponse) {
	voterSet := s.Acceptor.VoterSet()
	if s.DiskState() != consensus.Incomplete || m.VoterSetNumber != voterSet.Number || !s.learner.HandlePage(m) {
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

// completeCopyIfDue marks the disk complete, which lets this store vote, once its copy is
// complete under a voter set that it belongs to.
func (s *Store) completeCopyIfDue(now ids.Time, voterSet consensus.VoterSet) {
	if !voterSet.HasVoter(s.StoreID()) || !s.learner.IsCompleteFor(voterSet) {
		return
	}
	s.MarkComplete()
	duration := now.Sub(s.learner.startedAt)
	s.Log(event.LevelInfo, logCopyCompleted, "voter_set", formatUint(voterSet.Number), "duration_ms", formatUint(uint64(duration.Milliseconds())))
	s.reportCopyComplete(voterSet)
}
