package consensus

import "dunlinwell/internal/transport/wire"

// VoterSetNumberAfterTotalLoss is the number of a voter set that an operator ordered
// after every disk was lost. It is above any number that the lost core reached
// by replacements, so that a store of that core can't take the new one for older.
const VoterSetNumberAfterTotalLoss = 1 << 32

// BootstrapRequest asks a blank store to take part in one proposed founding.
type BootstrapRequest struct {
	Round    uint64
	VoterSet VoterSet
}

// BootstrapResponse answers it, once the promise is on the disk. An empty Rejected
// promises that the store will take no part in a founding of a lower round.
type BootstrapResponse struct {
	Round     uint64
	VoterSet  VoterSet
	Store     uint64
	Rejection string
	// PromisedRound is the highest round that the store has promised.
	PromisedRound uint64
}

// BootstrapRecord is what a store's disk keeps of foundings. That it is there at
// all says that the store was first started with leave to found.
type BootstrapRecord struct {
	Round uint64
	// PromisedVoterSets are all the voter sets that were promised, the newest last.
	PromisedVoterSets []VoterSet
	// ExistingCluster says what showed that a core exists already, if anything did.
	ExistingCluster string
}

var _ = wire.Register(36, BootstrapRequest{}) && wire.Register(37, BootstrapResponse{}) &&
	wire.Register(49, BootstrapRecord{})

// Promise checks a proposal and gives the record with it added. A store that
// promised an earlier set promises another one only if the two share a majority:
// otherwise the earlier one may be at work among disks that are lost by now.
func (r BootstrapRecord) Promise(request BootstrapRequest) (BootstrapRecord, string) {
	if r.IsLastPromised(request) {
		return r, ""
	}
	if request.Round <= r.Round {
		return r, "a later founding was promised"
	}
	for _, earlier := range r.PromisedVoterSets {
		if !earlier.IsQuorum(request.VoterSet.voterIDs()) {
			return r, "too many disks of an earlier founding are lost"
		}
	}
	r.Round = request.Round
	r.PromisedVoterSets = append(r.PromisedVoterSets[:len(r.PromisedVoterSets):len(r.PromisedVoterSets)], request.VoterSet)
	return r, ""
}

// IsLastPromised tells whether the request is the one that was promised last.
func (r BootstrapRecord) IsLastPromised(request BootstrapRequest) bool {
	n := len(r.PromisedVoterSets)
	return n > 0 && request.Round == r.Round && r.PromisedVoterSets[n-1].SameVoters(request.VoterSet)
}

// MayAdopt tells whether a founded voter set may be taken up from one of its
// members. After a promise of a higher round it may only if that member belongs
// to the higher founding too: it serves already, so that one can't be completed.
func (r BootstrapRecord) MayAdopt(bootstrap Bootstrap, from Voter) bool {
	if bootstrap.Round >= r.Round || bootstrap.VoterSet.LossCount > 0 {
		return true
	}
	return r.PromisedVoterSets[len(r.PromisedVoterSets)-1].HasVoter(from.ID)
}

// IncludesStore tells whether a store belongs to a founding that was promised.
func (r BootstrapRecord) IncludesStore(store uint64) bool {
	for _, promised := range r.PromisedVoterSets {
		if promised.HasVoter(store) {
			return true
		}
	}
	return false
}

// voterIDs gives the stores of a voter set as a set.
func (s VoterSet) voterIDs() map[uint64]bool {
	out := map[uint64]bool{}
	for _, v := range s.AllVoters() {
		out[v.ID] = true
	}
	return out
}

// SameVoters tells whether two settled voter sets have the same members.
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

// IsInitial tells whether this is a voter set as it was founded: its members take it
// up with the values that go with it, from a member that has them.
func (s VoterSet) IsInitial() bool {
	return s.Number == 1 || s.Number == VoterSetNumberAfterTotalLoss
}
