package store

import (
	"slices"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/state/consensus"
)

// Retire is the command to set this store's data folder aside and to start again as a
// blank store: another store has replaced this disk.
type Retire struct{}

// silentVoterTimeout is how long a voter must have been silent before a store
// without a vote asks to replace it. A restart takes less, and should not cost a copy
// of all registers.
const silentVoterTimeout = 3 * time.Second

// repairVoterSet tracks which voters are silent, and asks for the change of the voter set
// that is this store's to ask for. A lost voter isn't replaced by the other voters: the
// store that is to take its place asks for that. A joint voter set, which only older
// versions and recoveries make, is abandoned if the store that it brings in was lost in
// turn.
func (s *Store) repairVoterSet(now ids.Time, voterSet consensus.VoterSet) {
	s.trackSilentVoters(now, voterSet)
	if len(voterSet.Incoming) > 0 {
		s.abandonLostIncoming(now, voterSet)
		return
	}
	if !voterSet.HasVoter(s.StoreID()) && s.DiskState() == consensus.Blank {
		s.requestVoterPlace(now, voterSet)
	}
}

// requestVoterPlace asks for this store, which has no vote, to become a voter: in the place
// of a lost one, or in one that is free.
func (s *Store) requestVoterPlace(now ids.Time, voterSet consensus.VoterSet) {
	if id, ok := s.replaceableVoter(now, voterSet); ok {
		s.submitVoterSetRequest(consensus.OpReplace, consensus.ReplaceRequest{New: s.selfVoter(), LostID: id, Replicas: s.replicas})
	}
}

// replaceableVoter finds the voter that this store may replace. The id 0 stands for
// none: the voter set has fewer voters than it should have.
func (s *Store) replaceableVoter(now ids.Time, voterSet consensus.VoterSet) (uint64, bool) {
	for _, v := range voterSet.Voters {
		// A voter is reached at its address alone. This store, with another disk at that
		// address, is the proof that the voter's disk is gone; no silence is needed.
		if v.Address == s.Self.Address {
			return v.ID, true
		}
	}
	// The one that has been silent for longest is the least likely to come back.
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

// trackSilentVoters notes since when each voter has not been live by the membership
// list.
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

// isLost reports whether a voter has been silent for long enough to be replaced.
func (s *Store) isLost(now ids.Time, voterID uint64) bool {
	since, ok := s.silentSince[voterID]
	return ok && now.Sub(since) >= silentVoterTimeout
}

// abandonLostIncoming asks for a joint voter set to go back to its current voters if
// a store that it brings in is lost.
func (s *Store) abandonLostIncoming(now ids.Time, voterSet consensus.VoterSet) {
	for _, v := range voterSet.Incoming {
		if s.isLost(now, v.ID) && !isCurrentVoter(voterSet, v.ID) {
			s.submitVoterSetRequest(consensus.OpAbandon, consensus.VoterSetNumber{Number: voterSet.Number})
		}
	}
}

// retireIfDue emits Retire once this disk was replaced and nobody may need to copy
// from it any more. A store that is leaving doesn't begin anew.
func (s *Store) retireIfDue() {
	if s.DiskState() != consensus.Replaced || s.retireOrdered || s.departure.deadline != 0 {
		return
	}
	if s.mayBeCopiedFrom(s.Acceptor.VoterSet()) {
		return
	}
	s.retireOrdered = true
	s.Emit(Retire{})
}

// mayBeCopiedFrom reports whether the successor of this replaced store may still copy
// from it. A successor at this store's own address isn't running: this process has
// that address now.
func (s *Store) mayBeCopiedFrom(voterSet consensus.VoterSet) bool {
	self := s.StoreID()
	isSelf := func(v consensus.Voter) bool { return v.ID == self }
	isSuccessorHere := func(v consensus.Voter) bool { return v.Address == s.Self.Address && v.ID != self }
	return slices.ContainsFunc(voterSet.Previous, isSelf) && !slices.ContainsFunc(voterSet.Voters, isSuccessorHere)
}
