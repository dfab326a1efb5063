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
	if s.DiskState() != consensus.Replaced || s.retireOrdered || s.departure.deadline != 0 {
		return
	}
	voterSet := s.Acceptor.VoterSet()
	self := s.StoreID()
	isSelf := func(v consensus.Voter) bool { return v.ID == self }
	// Where the successor has this store's own address it doesn't run any more.
	successorHere := slices.ContainsFunc(voterSet.Voters, func(v consensus.Voter) bool { return v.Address == s.Self.Address && v.ID != self })
	if slices.ContainsFunc(voterSet.Previous, isSelf) && !successorHere {
		return
	}
	s.retireOrdered = true
	s.Emit(Retire{})
}
