package consensus

import "dunlinwell/internal/transport/wire"

// NumberAfterTotalLoss is the number of a voter set that an operator ordered
// after every disk was lost. It is above any number that the lost core reached
// by replacements, so that a store of that core can't take the new one for older.
const NumberAfterTotalLoss = 1 << 32

// FoundingRequest asks a blank store to take part in one proposed founding.
type FoundingRequest struct {
	Round    uint64
	VoterSet VoterSet
}

// FoundingResponse answers it, once the promise is on the disk. An empty Declined
// promises that the store will take no part in a founding of a lower round.
type FoundingResponse struct {
	Round    uint64
	VoterSet VoterSet
	Store    uint64
	Declined string
	// Promised is the highest round that the store has promised.
	Promised uint64
}

// FoundingRecord is what a store's disk keeps of foundings. That it is there at
// all says that the store was first started with leave to found.
type FoundingRecord struct {
	Round uint64
	// Proposed are all the voter sets that were promised, the newest last.
	Proposed []VoterSet
	// EarlierCore says what showed that a core exists already, if anything did.
	EarlierCore string
}

var _ = wire.Register(36, FoundingRequest{}) && wire.Register(37, FoundingResponse{}) &&
	wire.Register(49, FoundingRecord{})

// Promise checks a proposal and gives the record with it added. A store that
// promised an earlier set promises another one only if the two share a majority:
// otherwise the earlier one may be at work among disks that are lost by now.
func (f FoundingRecord) Promise(r FoundingRequest) (FoundingRecord, string) {
	if f.Repeats(r) {
		return f, ""
	}
	if r.Round <= f.Round {
		return f, "a later founding was promised"
	}
	for _, earlier := range f.Proposed {
		if !earlier.Majority(r.VoterSet.ids()) {
			return f, "too many disks of an earlier founding are lost"
		}
	}
	f.Round = r.Round
	f.Proposed = append(f.Proposed[:len(f.Proposed):len(f.Proposed)], r.VoterSet)
	return f, ""
}

// Repeats tells whether the request is the one that was promised last.
func (f FoundingRecord) Repeats(r FoundingRequest) bool {
	n := len(f.Proposed)
	return n > 0 && r.Round == f.Round && f.Proposed[n-1].SameVoters(r.VoterSet)
}

// Follows tells whether a founded voter set may be taken up from one of its
// members. After a promise of a higher round it may only if that member belongs
// to the higher founding too: it serves already, so that one can't be completed.
func (f FoundingRecord) Follows(b Bootstrap, from Voter) bool {
	if b.Round >= f.Round || b.VoterSet.Loss > 0 {
		return true
	}
	return f.Proposed[len(f.Proposed)-1].Has(from.ID)
}

// Names tells whether a store belongs to a founding that was promised.
func (f FoundingRecord) Names(store uint64) bool {
	for _, r := range f.Proposed {
		if r.Has(store) {
			return true
		}
	}
	return false
}

// ids gives the stores of a voter set as a set.
func (r VoterSet) ids() map[uint64]bool {
	out := map[uint64]bool{}
	for _, v := range r.All() {
		out[v.ID] = true
	}
	return out
}

// SameVoters tells whether two settled voter sets have the same members.
func (r VoterSet) SameVoters(other VoterSet) bool {
	if len(r.Voters) != len(other.Voters) {
		return false
	}
	for _, v := range r.Voters {
		if !other.Has(v.ID) {
			return false
		}
	}
	return true
}

// IsFirst tells whether this is a voter set as it was founded: its members take it
// up with the values that go with it, from a member that has them.
func (r VoterSet) IsFirst() bool {
	return r.Number == 1 || r.Number == NumberAfterTotalLoss
}
