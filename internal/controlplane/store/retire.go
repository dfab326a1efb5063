package store

import (
	"slices"

	"dunlinwell/internal/state/consensus"
)

// Retire is the command to set this store's folder aside and to start again as a
// blank one: another took the place of its disk.
type Retire struct{}

// retireIfDue gives the command once nobody may want to copy from this disk.
func (s *Store) retireIfDue() {
	if s.Standing() != consensus.Replaced || s.retired || s.departure.until != 0 {
		return
	}
	set := s.Acceptor.VoterSet()
	self := s.StoreID()
	isSelf := func(v consensus.Voter) bool { return v.ID == self }
	// Where the successor has this store's own address it doesn't run any more.
	here := slices.ContainsFunc(set.Voters, func(v consensus.Voter) bool { return v.Address == s.Self.Address && v.ID != self })
	if slices.ContainsFunc(set.Previous, isSelf) && !here {
		return
	}
	s.retired = true
	s.Emit(Retire{})
}
