package store

import (
	"strconv"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/state/consensus"
)

func itoa(n uint64) string { return strconv.FormatUint(n, 10) }

// replaceLost asks for a lost member's place, or undoes a joint replacement of an
// older version whose newcomer was lost in its turn.
func (s *Store) replaceLost(now ids.Time, set consensus.VoterSet) {
	s.noteGone(now, set)
	if len(set.Incoming) > 0 {
		s.abandonLost(now, set)
		return
	}
	if set.HasVoter(s.StoreID()) || s.DiskState() != consensus.Blank {
		return
	}
	if id, ok := s.placeFor(now, set); ok {
		s.submit(consensus.OpReplace, consensus.ReplaceRequest{New: s.self(), LostID: id, Replicas: s.replicas})
	}
}

// placeFor finds the voter whose place this store may take; 0 stands for a
// place that nobody holds yet.
func (s *Store) placeFor(now ids.Time, set consensus.VoterSet) (uint64, bool) {
	for _, v := range set.Voters {
		// A voter is reached at its address alone. Whoever runs there with another
		// disk shows that the voter's is gone; no silence has to show it.
		if v.Address == s.Self.Address {
			return v.ID, true
		}
	}
	// One that has been silent for longest is the least likely to come back.
	longest := uint64(0)
	for _, v := range set.Voters {
		if s.lost(now, v.ID) && (longest == 0 || s.gone[v.ID] < s.gone[longest]) {
			longest = v.ID
		}
	}
	if longest != 0 {
		return longest, true
	}
	return 0, len(set.Voters) < s.replicas
}

// noteGone keeps since when each voter has not been heard of.
func (s *Store) noteGone(now ids.Time, set consensus.VoterSet) {
	up := map[uint64]bool{}
	for _, m := range s.Live(membership.Store) {
		up[m.Store] = true
	}
	for _, v := range set.AllVoters() {
		if up[v.ID] {
			delete(s.gone, v.ID)
		} else if _, ok := s.gone[v.ID]; !ok {
			s.gone[v.ID] = now
		}
	}
}

// lost tells whether a voter has been silent for long enough to be replaced.
func (s *Store) lost(now ids.Time, id uint64) bool {
	at, ok := s.gone[id]
	return ok && now.Sub(at) >= replaceSilentAfter
}

func (s *Store) abandonLost(now ids.Time, set consensus.VoterSet) {
	old := consensus.VoterSet{Voters: set.Voters}
	for _, v := range set.Incoming {
		if s.lost(now, v.ID) && !old.HasVoter(v.ID) {
			s.submit(consensus.OpAbandon, consensus.VoterSetNumber{Number: set.Number})
		}
	}
}

// Holds gives this copy's own value for a caller that asked for no more.
func (s *Store) LocalValue(key ids.RegisterKey) []byte {
	_, v := s.AcceptedValue(key)
	return v
}
