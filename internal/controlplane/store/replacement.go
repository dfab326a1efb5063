package store

import (
	"slices"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/state/consensus"
)

// Retire is the command to set the data directory aside and to restart as a blank store,
// after another store has replaced this one.
type Retire struct{}

const (
	// silentVoterTimeout is how long a voter must have been silent before a store without a
	// vote requests to replace it. It is longer than a restart, which must not cause all
	// registers to be copied.
	silentVoterTimeout = 3 * time.Second
	// standbySilentVoterTimeout is the same for a standby, which has copied the registers
	// already. It begins with the declaration of death; both, and the rest of the copy, must
	// fit into the time after which a successor's machine no longer counts as lost (4 s on
	// the platform).
	standbySilentVoterTimeout = 500 * time.Millisecond
)

// repairVoterSet tracks which voters are silent, and requests the changes of the voter set
// that this store is responsible for. The replacement of a lost voter is requested by the
// store that replaces it, not by the other voters. A joint voter set, which only older
// versions and recoveries create, is abandoned if an incoming voter is lost.
func (s *Store) repairVoterSet(now ids.Time, voterSet consensus.VoterSet) {
	s.trackSilentVoters(now, voterSet)
	if len(voterSet.Incoming) > 0 {
		s.abandonLostIncoming(now, voterSet)
		return
	}
	if !voterSet.HasVoter(s.StoreID()) && s.DiskState() == consensus.Incomplete {
		s.requestJoin(now, voterSet)
	}
}

// requestJoin requests that this store, which has no vote, become a voter by replacing
// a lost voter or by being added to a voter set that has too few.
func (s *Store) requestJoin(now ids.Time, voterSet consensus.VoterSet) {
	if id, ok := s.replaceableVoter(now, voterSet); ok {
		s.submitVoterSetRequest(consensus.OpReplace, consensus.ReplaceRequest{New: s.selfVoter(), LostID: id, Replicas: s.replicas})
	}
}

// replaceableVoter returns the ID of the voter that this store may replace, or 0 if the
// voter set has too few voters and this store may be added. It returns false if neither is
// the case.
func (s *Store) replaceableVoter(now ids.Time, voterSet consensus.VoterSet) (uint64, bool) {
	for _, v := range voterSet.Voters {
		// This store runs at the voter's address with another disk, so the voter's disk must
		// be lost. There is no need to wait for silentVoterTimeout.
		if v.Address == s.Self.Address {
			return v.ID, true
		}
	}
	// The voter that has been silent longest is the least likely to return.
	longestSilent := uint64(0)
	for _, v := range voterSet.Voters {
		if s.isLost(now, v.ID) && (longestSilent == 0 || s.silentSince[v.ID] < s.silentSince[longestSilent]) {
			longestSilent = v.ID
		}
	}
	if longestSilent != 0 {
		return longestSilent, true
	}
	return 0, len(voterSet.Voters) < s.replicas
}

// trackSilentVoters records when each silent voter was first found not to be live in the
// membership list.
func (s *Store) trackSilentVoters(now ids.Time, voterSet consensus.VoterSet) {
	live := map[uint64]bool{}
	for _, m := range s.Live(membership.Store) {
		live[m.StoreID] = true
	}
	for _, v := range voterSet.AllVoters() {
		if live[v.ID] {
			delete(s.silentSince, v.ID)
		} else if _, ok := s.silentSince[v.ID]; !ok {
			s.silentSince[v.ID] = now
		}
	}
}

// isLost reports whether a voter has been silent for so long that this store may request to
// replace it.
func (s *Store) isLost(now ids.Time, voterID uint64) bool {
	since, ok := s.silentSince[voterID]
	return ok && now.Sub(since) >= s.replacementTimeout()
}

// replacementTimeout returns how long a voter must have been silent before this store requests
// to replace it.
func (s *Store) replacementTimeout() time.Duration {
	if s.isStandby() {
		return standbySilentVoterTimeout
	}
	return silentVoterTimeout
}

// isStandby reports whether this store has no vote and has copied the registers of a quorum.
func (s *Store) isStandby() bool {
	voterSet := s.Acceptor.VoterSet()
	return s.DiskState() == consensus.Incomplete && !voterSet.HasVoter(s.StoreID()) && s.learner.HasCopiedQuorum(voterSet)
}

// abandonLostIncoming requests that a joint voter set return to its current voters if an
// incoming voter is lost.
func (s *Store) abandonLostIncoming(now ids.Time, voterSet consensus.VoterSet) {
	for _, v := range voterSet.Incoming {
		if s.isLost(now, v.ID) && !isCurrentVoter(voterSet, v.ID) {
			s.submitVoterSetRequest(consensus.OpAbandon, consensus.VoterSetNumber{Number: voterSet.Number})
		}
	}
}

// retireIfDue emits Retire once this store was replaced and its successor no longer needs
// to copy from it. A store that is leaving does not retire, since it must not restart.
func (s *Store) retireIfDue() {
	if s.DiskState() != consensus.Replaced || s.retireEmitted || s.departure.deadline != 0 {
		return
	}
	if s.mayBeCopiedFrom(s.Acceptor.VoterSet()) {
		return
	}
	s.retireEmitted = true
	s.Emit(Retire{})
}

// mayBeCopiedFrom reports whether the successor of this replaced store may still copy
// from it. A successor at this store's own address can't be running, since this process
// uses that address.
func (s *Store) mayBeCopiedFrom(voterSet consensus.VoterSet) bool {
	self := s.StoreID()
	isSelf := func(v consensus.Voter) bool { return v.ID == self }
	isSuccessorHere := func(v consensus.Voter) bool { return v.Address == s.Self.Address && v.ID != self }
	return slices.ContainsFunc(voterSet.Previous, isSelf) && !slices.ContainsFunc(voterSet.Voters, isSuccessorHere)
}
