package consensus

import (
	"slices"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/transport/wire"
)

// VoterSetKey is the register that holds the voter set itself.
const VoterSetKey ids.RegisterKey = "roster"

// VoterSetNumberAfterTotalLoss is the number of a first voter set that an operator
// ordered after every disk was lost. It is above any number that the lost cluster can
// have reached by replacements, so that its stores don't take the new set for an older one.
const VoterSetNumberAfterTotalLoss = 1 << 32

// Voter is a store that votes. Its id is made together with its disk, so a blank disk
// can't vote as the one that was lost.
type Voter struct {
	ID      uint64
	Address ids.Address
}

// VoterSet is the membership of the cluster: the stores whose quorums decide.
type VoterSet struct {
	// Number orders the voter sets; 0 means that none is known.
	Number uint64
	Voters []Voter
	// Incoming makes the set joint: while it isn't empty, a quorum needs a majority of
	// Voters and one of Incoming.
	Incoming []Voter
	// LossCount is how many times a recovery gave up disks, and with them records of
	// idempotency keys.
	LossCount uint64
	// Learners are the ids of voters that have not reported a complete copy yet; a store
	// that copies without being a voter isn't among them. The list only
	// keeps a replacement from leaving too few that can vote. Safety doesn't rest on it,
	// as each voter knows by its own disk whether it may vote.
	Learners []uint64
	// Previous are the voters before the last replacement, while the copy of its new
	// voter may be incomplete. A majority of them holds all that the copy lacks.
	Previous []Voter
}

var _ = wire.Register(41, VoterSet{})

// DecodeVoterSet decodes the value of the voter set's register.
func DecodeVoterSet(raw []byte) (VoterSet, bool) { return decodeMessage[VoterSet](raw) }

// IsQuorum reports whether the stores with a true entry decide under the voter set. In
// a joint set that takes a majority of either side.
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

// AllVoters returns each voter of either side once.
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

// Voter returns the voter with an id.
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

// IsInitial reports whether this is the first voter set of a cluster. Its members adopt
// it from a member together with the values that go with it.
func (s VoterSet) IsInitial() bool {
	return s.Number == 1 || s.Number == VoterSetNumberAfterTotalLoss
}

// IsValid reports whether a store can have sent the voter set in earnest. One without
// voters, or with two of one id, could agree on nothing.
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

// MatchesSender reports whether an answer for voter id came from that voter's address.
// An answer under another voter set passes, as it is dropped for that reason later.
func (s VoterSet) MatchesSender(from ids.Address, id, number uint64) bool {
	v, ok := s.Voter(id)
	return number != s.Number || ok && v.Address == from
}

// CopySources returns the voters that a learner may copy from.
func (s VoterSet) CopySources() []Voter {
	return VoterSet{Voters: s.Voters, Incoming: s.Previous}.AllVoters()
}

// IsCopySource reports whether a learner may copy from a store at an address.
func (s VoterSet) IsCopySource(from ids.Address, id uint64) bool {
	return slices.Contains(s.CopySources(), Voter{ID: id, Address: from})
}

// voterIDs returns the ids of all voters.
func (s VoterSet) voterIDs() map[uint64]bool {
	out := map[uint64]bool{}
	for _, v := range s.AllVoters() {
		out[v.ID] = true
	}
	return out
}
