package store

import (
	"slices"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/consensus"
)

// Leave is the event that this store's process is to end. The store hands its vote
// over or waits for others, and emits MayStop after Within at the latest.
type Leave struct{ GracePeriod time.Duration }

// MayStop is the command to end the process: this store isn't needed any more, or
// its time is up.
type MayStop struct{}

// departure is the state of a store that is to end; its deadline is 0 until then.
type departure struct {
	deadline ids.Time
	// nextHandOverAt is when the vote is next offered, or the voter set read.
	nextHandOverAt ids.Time
	// successorID is the store that the vote was last offered to.
	successorID uint64
	// stayReason is why this store was still needed at the last tick.
	stayReason string
	// ended is set once MayStop was emitted.
	ended bool
}

// handOverInterval is how often a leaving store tries to hand its vote over. A
// process has a few seconds to end, so that many attempts fit in.
const handOverInterval = 100 * time.Millisecond

// handleLeave begins the departure. A repetition changes nothing.
func (s *Store) handleLeave(now ids.Time, request Leave) {
	if s.departure.deadline == 0 {
		s.departure.deadline = now.Add(request.GracePeriod)
	}
	s.tickDeparture(now)
}

// tickDeparture emits MayStop once this store isn't needed any more or its time is
// up, and until then tries to hand the vote over.
func (s *Store) tickDeparture(now ids.Time) {
	d := &s.departure
	if d.deadline == 0 || d.ended {
		return
	}
	reason := s.stayReason(now)
	if reason != d.stayReason && reason != "" {
		s.Log(event.LevelInfo, logDepartureWaiting, "reason", reason)
	}
	d.stayReason = reason
	if reason == "" || now >= d.deadline {
		d.ended = true
		s.Log(event.LevelInfo, logDepartureEnded, "needed_for", reason)
		s.Emit(MayStop{})
		return
	}
	if now >= d.nextHandOverAt {
		d.nextHandOverAt = now.Add(handOverInterval)
		s.handOverVote(now)
	}
}

// stayReason returns why the process shouldn't end yet; empty if it may.
func (s *Store) stayReason(now ids.Time) string {
	voterSet := s.Acceptor.VoterSet()
	if !voterSet.HasVoter(s.StoreID()) {
		if slices.Contains(voterSet.Learners, s.departure.successorID) {
			return "successor is still copying"
		}
		return ""
	}
	if _, ok := s.readyStandby(now, voterSet); ok {
		return "handing the vote over"
	}
	if !s.othersHaveQuorum(voterSet) {
		return "the other voters are no quorum"
	}
	return ""
}

// handOverVote asks for a ready standby to replace this store. Where there is none,
// it reads the voter set to learn how the last replacement proceeds.
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

// readyStandby finds a store that has copied the registers and waits to become a
// voter. As many standbys as there are silent voters are left to replace those first.
func (s *Store) readyStandby(now ids.Time, voterSet consensus.VoterSet) (consensus.Voter, bool) {
	ready := s.recentStores(now, func(hello consensus.Hello) bool { return hello.HasCopied })
	silent := len(voterSet.Voters) - len(s.liveVoters(voterSet))
	if silent >= len(ready) {
		return consensus.Voter{}, false
	}
	return ready[0], true
}

// othersHaveQuorum reports whether the live voters with a complete copy, without
// this store, are a quorum.
func (s *Store) othersHaveQuorum(voterSet consensus.VoterSet) bool {
	live := s.liveVoters(voterSet)
	delete(live, s.StoreID())
	for _, id := range voterSet.Learners {
		delete(live, id)
	}
	return voterSet.IsQuorum(live)
}
