package store

import (
	"strconv"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/state/consensus"
)

func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }

// replaceLostVoter asks for a lost member's place, or undoes a joint replacement of an
// older version whose newcomer was lost in its turn.
func (s *Store) replaceLostVoter(now ids.Time, voterSet consensus.VoterSet) {
	s.trackSilentVoters(now, voterSet)
	if len(voterSet.Incoming) > 0 {
		s.abandonLostIncoming(now, voterSet)
		return
	}
	if voterSet.HasVoter(s.StoreID()) || s.DiskState() != consensus.Blank {
		return
	}
	if id, ok := s.replaceableVoter(now, voterSet); ok {
		s.submitVoterSetRequest(consensus.OpReplace, consensus.ReplaceRequest{New: s.selfVoter(), LostID: id, Replicas: s.replicas})
	}
}

// replaceableVoter finds the voter whose place this store may take; 0 stands for a
// place that nobody holds yet.
func (s *Store) replaceableVoter(now ids.Time, voterSet consensus.VoterSet) (uint64, bool) {
	for _, v := range voterSet.Voters {
		// A voter is reached at its address alone. Whoever runs there with another
		// disk shows that the voter's is gone; no silence has to show it.
		if v.Address == s.Self.Address {
			return v.ID, true
		}
	}
	// One that has been silent for longest is the least likely to come back.
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

// trackSilentVoters keeps since when each voter has not been heard of.
func (s *Store) trackSilentVoters(now ids.Time, voterSet consensus.VoterSet) {
	live := map[uint64]bool{}
	for _, m := range s.Live(membership.Store) {
		live[m.Store] = true
	}
	for _, v := range voterSet.AllVoters() {
		if live[v.ID] {
			delete(s.silentSince, v.ID)
		} else if _, ok := s.silentSince[v.ID]; !ok {
			s.silentSince[v.ID] = now
		}
	}
}

// isLost tells whether a voter has been silent for long enough to be replaced.
func (s *Store) isLost(now ids.Time, id uint64) bool {
	since, ok := s.silentSince[id]
	return ok && now.Sub(since) >= silentVoterTimeout
}

func (s *Store) abandonLostIncoming(now ids.Time, voterSet consensus.VoterSet) {
	oldVoters := consensus.VoterSet{Voters: voterSet.Voters}
	for _, v := range voterSet.Incoming {
		if s.isLost(now, v.ID) && !oldVoters.HasVoter(v.ID) {
			s.submitVoterSetRequest(consensus.OpAbandon, consensus.VoterSetNumber{Number: voterSet.Number})
		}
	}
}

// Holds gives this copy's own value for a caller that asked for no more.
func (s *Store) LocalValue(key ids.RegisterKey) []byte {
	_, value := s.AcceptedValue(key)
	return value
}
