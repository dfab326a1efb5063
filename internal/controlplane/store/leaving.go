package store

import (
	"cmp"
	"slices"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/state/consensus"
)

// Leave tells this store that its process is to end, at the latest after a while.
type Leave struct{ Within time.Duration }

// MayStop says that the process may end: this store isn't needed any more, or its
// time is up.
type MayStop struct{}

// departure is how far a store that is to end has come.
type departure struct {
	deadline ids.Time
	// nextHandOverAt is when the voter set is asked or changed once more.
	nextHandOverAt ids.Time
	// successorID is the store that the vote was offered to last.
	successorID uint64
	// stayReason is why this store went on when last looked.
	stayReason string
	ended      bool
}

// handOverInterval is how often a leaving store tries to hand its vote over.
const handOverInterval = 100 * time.Millisecond

// handleLeave takes the order to end. It may be repeated.
func (s *Store) handleLeave(now ids.Time, request Leave) {
	if s.departure.deadline == 0 {
		s.departure.deadline = now.Add(request.Within)
	}
	s.tickDeparture(now)
}

// tickDeparture ends the run once nothing needs it, and works towards that.
func (s *Store) tickDeparture(now ids.Time) {
	d := &s.departure
	if d.deadline == 0 || d.ended {
		return
	}
	reason := s.stayReason(now)
	if reason != d.stayReason && reason != "" {
		s.Log(event.LevelInfo, "stays for now", "why", reason)
	}
	d.stayReason = reason
	if reason == "" || now >= d.deadline {
		d.ended = true
		s.Log(event.LevelInfo, "may stop", "needed", reason)
		s.Emit(MayStop{})
		return
	}
	if now >= d.nextHandOverAt {
		d.nextHandOverAt = now.Add(handOverInterval)
		s.handOverVote(now)
	}
}

// stayReason says why the process shouldn't end yet; empty if it may.
func (s *Store) stayReason(now ids.Time) string {
	voterSet := s.Acceptor.VoterSet()
	if !voterSet.HasVoter(s.StoreID()) {
		if slices.Contains(voterSet.Learners, s.departure.successorID) {
			return "its successor still copies"
		}
		return ""
	}
	if _, ok := s.readyStandby(now, voterSet); ok {
		return "hands its vote over"
	}
	if !s.othersHaveMajority(voterSet) {
		return "too few voters would be left"
	}
	return ""
}

// handOverVote gives this store's place to one that stands by, or else reads the
// voter set, to see what has become of it.
func (s *Store) handOverVote(now ids.Time) {
	voterSet := s.Acceptor.VoterSet()
	successor, ok := s.readyStandby(now, voterSet)
	if !ok || !voterSet.HasVoter(s.StoreID()) {
		s.submitVoterSetRequest(consensus.Read, nil)
		return
	}
	s.departure.successorID = successor.ID
	s.submitVoterSetRequest(consensus.OpReplace, consensus.ReplaceRequest{New: successor, LostID: s.StoreID(), Replicas: s.replicas})
}

// readyStandby finds a store that has copied and waits for a place. As many of them as
// there are silent voters are left for those: their places come first.
func (s *Store) readyStandby(now ids.Time, voterSet consensus.VoterSet) (consensus.Voter, bool) {
	var ready []consensus.Voter
	for _, hello := range s.hellos {
		if hello.HasCopied && now.Sub(hello.receivedAt) < helloLifetime && !voterSet.HasVoter(hello.Store.ID) {
			ready = append(ready, hello.Store)
		}
	}
	slices.SortFunc(ready, func(a, b consensus.Voter) int { return cmp.Compare(a.ID, b.ID) })
	silent := len(voterSet.Voters) - len(s.liveVoters(voterSet))
	if silent >= len(ready) {
		return consensus.Voter{}, false
	}
	return ready[0], true
}

// othersHaveMajority tells whether a majority is left without this store, of voters
// that are up and have their copy.
func (s *Store) othersHaveMajority(voterSet consensus.VoterSet) bool {
	live := s.liveVoters(voterSet)
	delete(live, s.StoreID())
	for _, id := range voterSet.Learners {
		delete(live, id)
	}
	return voterSet.IsQuorum(live)
}

// liveVoters gives the voters that the roll counts as up, and this store.
func (s *Store) liveVoters(voterSet consensus.VoterSet) map[uint64]bool {
	live := map[uint64]bool{}
	for _, m := range s.Live(membership.Store) {
		if (consensus.VoterSet{Voters: voterSet.Voters}).HasVoter(m.Store) {
			live[m.Store] = true
		}
	}
	if voterSet.HasVoter(s.StoreID()) {
		live[s.StoreID()] = true
	}
	return live
}
