package consensus

import (
	"slices"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/transport/wire"
)

// VoterSetKey is the register that holds the voter set itself.
const VoterSetKey ids.RegisterKey = "roster"

// VoterSetNumberAfterTotalLoss is the number of the initial voter set that an operator creates
// after all disks were lost. It exceeds any number that the lost cluster can have reached by
// replacements, so that remaining stores don't consider the new set outdated.
const VoterSetNumberAfterTotalLoss = 1 << 32

// Voter is a member of a voter set. Its ID is generated when its disk is created, so an
// empty disk can't vote under the ID of a lost disk.
type Voter struct {
	ID      uint64
	Address ids.Address
}

// VoterSet is the set of stores whose votes form quorums.
type VoterSet struct {
	// Number orders the voter sets; 0 means that none is known.
	Number uint64
	Voters []Voter
	// Incoming makes the set joint: while it isn't empty, a quorum needs a majority of
	// Voters and a majority of Incoming.
	Incoming []Voter
	// LossCount is the number of recoveries that gave up disks, which may have lost records
	// of idempotency keys.
	LossCount uint64
	// Learners lists the IDs of voters that haven't reported a complete copy yet. Stores
	// that copy without being voters aren't included. The list prevents a replacement that
	// would leave too few stores able to vote. Safety doesn't depend on it, as the disk
	// state of each voter determines whether it may vote.
	Learners []uint64
	// Previous lists the voters before the last replacement while the new voter's copy may
	// be incomplete. A majority of them holds everything that the copy lacks.
	Previous []Voter
}

var _ = wire.Register(41, VoterSet{})

// DecodeVoterSet decodes the value of the voter set's register.
func DecodeVoterSet(raw []byte) (VoterSet, bool) { return decodeMessage[VoterSet](raw) }

// IsQuorum reports whether the stores with a true entry form a quorum of the voter set. A
// joint set requires a majority of both sides.
func (s VoterSet) IsQuorum(stores map[uint64]bool) bool {
	majority := func(voters []Voter) bool {
		n := 0
		for _, v := range voters {
			if stores[v.ID] {
				n++
			}
		}
		return n*2 > len(voters)
	}
	return len(s.Voters) > 0 && majority(s.Voters) && (len(s.Incoming) == 0 || majority(s.Incoming))
}

// AllVoters returns the voters of both sides without duplicates.
func (s VoterSet) AllVoters() []Voter {
	seen := map[uint64]bool{}
	var out []Voter
	for _, v := range slices.Concat(s.Voters, s.Incoming) {
		if !seen[v.ID] {
			seen[v.ID] = true
			out = append(out, v)
		}
	}
	return out
}

// Voter returns the voter with an ID.
func (s VoterSet) Voter(id uint64) (Voter, bool) {
	for _, v := range s.AllVoters() {
		if v.ID == id {
			return v, true
		}
	}
	return Voter{}, false
}

// HasVoter reports whether a store is a voter.
func (s VoterSet) HasVoter(id uint64) bool {
	_, ok := s.Voter(id)
	return ok
}

// SameVoters reports whether two voter sets that aren't joint have the same voters.
func (s VoterSet) SameVoters(other VoterSet) bool {
	if len(s.Voters) != len(other.Voters) {
		return false
	}
	for _, v := range s.Voters {
		if !other.HasVoter(v.ID) {
			return false
		}
	}
	return true
}

// IsInitial reports whether this is the initial voter set of a cluster. Its members adopt it
// together with the initial register values.
func (s VoterSet) IsInitial() bool {
	return s.Number == 1 || s.Number == VoterSetNumberAfterTotalLoss
}

// IsValid reports whether the voter set is well-formed: it has a number and voters, and each
// side's voters have addresses and distinct IDs.
func (s VoterSet) IsValid() bool {
	return s.Number > 0 && len(s.Voters) > 0 && hasDistinctVoters(s.Voters) && hasDistinctVoters(s.Incoming)
}

func hasDistinctVoters(voters []Voter) bool {
	seen := map[uint64]bool{}
	for _, v := range voters {
		if v.ID == 0 || v.Address == "" || seen[v.ID] {
			return false
		}
		seen[v.ID] = true
	}
	return true
}

// MatchesSender reports whether a response that names a voter came from that voter's address. It
// doesn't check responses under another voter set, which are dropped later.
func (s VoterSet) MatchesSender(from ids.Address, id, number uint64) bool {
	v, ok := s.Voter(id)
	return number != s.Number || ok && v.Address == from
}

// CopySources returns the voters that a learner may copy from.
func (s VoterSet) CopySources() []Voter {
	return VoterSet{Voters: s.Voters, Incoming: s.Previous}.AllVoters()
}

// IsCopySource reports whether a learner may copy from the store with this ID and address.
func (s VoterSet) IsCopySource(from ids.Address, id uint64) bool {
	return slices.Contains(s.CopySources(), Voter{ID: id, Address: from})
}

// voterIDs returns the IDs of all voters.
func (s VoterSet) voterIDs() map[uint64]bool {
	out := map[uint64]bool{}
	for _, v := range s.AllVoters() {
		out[v.ID] = true
	}
	return out
}
