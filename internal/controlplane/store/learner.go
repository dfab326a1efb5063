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
	questions map[uint64]*pageQuestion
	// next is when this learner asks for a change once more.
	next ids.Time
	// began is when this run first learned, for the log.
	began ids.Time
}

// pageQuestion is when a voter was asked for the page that is waited for.
type pageQuestion struct {
	asked ids.Time
	wait  time.Duration
	// under is the voter set that it was asked under.
	under uint64
	// ended is when the last pass ended.
	ended ids.Time
}

const (
	learnEvery = 100 * time.Millisecond
	// pageWait is how long an answer is waited for at first; it doubles, as a
	// page may take long on a slow link.
	pageWait     = 400 * time.Millisecond
	longestWait  = 8 * time.Second
	refreshAfter = 2 * time.Second
)

// learn is the learner's share of each clock event.
func (s *Store) learn(now ids.Time) {
	set := s.Acceptor.VoterSet()
	switch {
	case set.Number == 0:
		// Nobody has told it yet whom to copy from; manageVoters says hello.
	case s.DiskState() == consensus.Blank:
		if s.learnerDue(now) {
			s.replaceLost(now, set)
		}
		s.copyRegisters(now, set)
	case s.DiskState() == consensus.Complete && s.learnerDue(now):
		s.reportComplete(set)
	}
}

// reportComplete asks for this store to be counted as one that votes.
func (s *Store) reportComplete(set consensus.VoterSet) {
	old := consensus.VoterSet{Voters: set.Voters}
	switch {
	case slices.Contains(set.Learners, s.StoreID()):
		s.submit(consensus.OpPromoteLearner, consensus.PromoteLearnerRequest{ID: s.StoreID()})
	case set.HasVoter(s.StoreID()) && !old.HasVoter(s.StoreID()):
		s.submit(consensus.OpFinalize, consensus.VoterSetNumber{Number: set.Number})
	}
}

func (s *Store) learnerDue(now ids.Time) bool {
	if s.learner.began == 0 {
		s.learner.began = now
	}
	if now < s.learner.next {
		return false
	}
	s.learner.next = now.Add(learnEvery)
	return true
}

// copyRegisters asks each voter for what is wanted of it.
func (s *Store) copyRegisters(now ids.Time, set consensus.VoterSet) {
	for _, v := range set.CopySources() {
		if v.ID == s.StoreID() {
			continue
		}
		q := s.learner.question(v.ID)
		switch busy := s.learner.IsCopying(v.ID); {
		case busy && q.under != set.Number:
			s.requestPage(now, v, set.Number)
		case busy && now.Sub(q.asked) >= q.wait:
			// It may not have heard of this voter set.
			s.Send(v.Address, consensus.VoterSetUpdate{VoterSet: set})
			q.wait = min(2*q.wait, longestWait)
			s.requestPage(now, v, set.Number)
		case !busy && s.wantsPass(now, v.ID, set):
			s.learner.BeginPass(v.ID)
			q.wait = pageWait
			s.requestPage(now, v, set.Number)
		}
	}
}

func (l *learner) question(id uint64) *pageQuestion {
	if l.questions == nil {
		l.questions = map[uint64]*pageQuestion{}
	}
	if l.questions[id] == nil {
		l.questions[id] = &pageQuestion{}
	}
	return l.questions[id]
}

// wantsPass tells whether a voter is to be copied from once more: never yet, or
// not since it went by the voter set in force, or while one may be replaced.
func (s *Store) wantsPass(now ids.Time, id uint64, set consensus.VoterSet) bool {
	sealed := s.learner.LastPassVoterSet(id)
	if sealed == 0 {
		return true
	}
	if set.HasVoter(s.StoreID()) {
		return sealed < set.Number
	}
	return len(s.gone) > 0 && now.Sub(s.learner.question(id).ended) >= refreshAfter
}

func (s *Store) requestPage(now ids.Time, v consensus.Voter, number uint64) {
	q := s.learner.question(v.ID)
	q.asked, q.under = now, number
	s.Send(v.Address, s.learner.NextRequest(v.ID, number))
}

// receivePage merges a page, and asks for the next.
func (s *Store) receivePage(now ids.Time, m consensus.PageResponse) {
	set := s.Acceptor.VoterSet()
	// A page from under another voter set is asked for once more.
	if s.DiskState() != consensus.Blank || m.VoterSetNumber != set.Number || !s.learner.HandlePage(m) {
		return
	}
	for _, record := range m.Records {
		s.MergeRecord(record)
	}
	q := s.learner.question(m.Store)
	if m.Last {
		q.ended = now
		s.completeIfDue(now, set)
		return
	}
	for _, v := range set.CopySources() {
		if v.ID == m.Store {
			q.wait = pageWait
			s.requestPage(now, v, set.Number)
		}
	}
}

// completeIfDue lets this store vote once its copy is complete.
func (s *Store) completeIfDue(now ids.Time, set consensus.VoterSet) {
	if !set.HasVoter(s.StoreID()) || !s.learner.IsCompleteFor(set) {
		return
	}
	s.MarkComplete()
	took := now.Sub(s.learner.began)
	s.Log(event.LevelInfo, "copy complete", "voter_set", itoa(set.Number), "ms", itoa(uint64(took.Milliseconds())))
	s.reportComplete(set)
}
