package store

import (
	"slices"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/consensus"
)

// Leave is the event that this store's process is to shut down. The store hands its vote
// over or waits for the other voters, and emits MayStop after GracePeriod at the latest.
type Leave struct{ GracePeriod time.Duration }

// MayStop is the command to end the process: this store is no longer needed, or its grace
// period has expired.
type MayStop struct{}

// departure is the state of a store that is shutting down. The deadline is 0 until a Leave
// event.
type departure struct {
	deadline ids.Time
	// nextHandOverAt is when handOverVote is due next.
	nextHandOverAt ids.Time
	// successorID is the standby that this store last proposed as its successor.
	successorID uint64
	// waitReason is why this store was still needed at the last tick; empty if it wasn't.
	waitReason string
	// ended is set once MayStop was emitted.
	ended bool
}

// handOverInterval is the time between two attempts of a leaving store to hand its vote
// over. Many attempts must fit into the grace period.
const handOverInterval = 100 * time.Millisecond

// handleLeave begins the departure. A repeated event does not extend the deadline.
func (s *Store) handleLeave(now ids.Time, request Leave) {
	if s.departure.deadline == 0 {
		s.departure.deadline = now.Add(request.GracePeriod)
	}
	s.tickDeparture(now)
}

// tickDeparture emits MayStop once this store is no longer needed or its grace period has
// expired, and until then tries to hand the vote over.
func (s *Store) tickDeparture(now ids.Time) {
	d := &s.departure
	if d.deadline == 0 || d.ended {
		return
	}
	reason := s.departureWaitReason(now)
	if reason != d.waitReason && reason != "" {
		s.Log(event.LevelInfo, logDepartureWaiting, "reason", reason)
	}
	d.waitReason = reason
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

// departureWaitReason returns why this store is still needed, or "" if its process may end.
func (s *Store) departureWaitReason(now ids.Time) string {
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
		return "the other voters do not form a quorum"
	}
	return ""
}

// handOverVote requests that a ready standby replace this store. If there is none, or this
// store was replaced already, it reads the voter set to follow the replacement.
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

// readyStandby returns a store that has copied the registers and can become a voter, and
// false if there is none to spare. One standby is reserved for each silent voter.
func (s *Store) readyStandby(now ids.Time, voterSet consensus.VoterSet) (consensus.Voter, bool) {
	ready := s.recentStores(now, func(hello consensus.Hello) bool { return hello.HasCopied })
	silent := len(voterSet.Voters) - len(s.liveVoters(voterSet))
	if silent >= len(ready) {
		return consensus.Voter{}, false
	}
	return ready[0], true
}

// othersHaveQuorum reports whether the other live voters with a complete copy form a
// quorum.
func (s *Store) othersHaveQuorum(voterSet consensus.VoterSet) bool {
	live := s.liveVoters(voterSet)
	delete(live, s.StoreID())
	for _, id := range voterSet.Learners {
		delete(live, id)
	}
	return voterSet.IsQuorum(live)
}
