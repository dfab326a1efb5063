package consensus

import "dunlinwell/internal/transport/wire"

// Bootstrap hands the first voter set, and the configuration that goes with it, to a
// blank member of it.
type Bootstrap struct {
	VoterSet      VoterSet
	Configuration []byte
	// Round is the bootstrap round in which the voter set was proposed.
	Round uint64
}

// BootstrapRequest asks a blank store to take part in a proposed first voter set.
type BootstrapRequest struct {
	// Round orders the proposals as a ballot does.
	Round    uint64
	VoterSet VoterSet
}

// BootstrapResponse answers a BootstrapRequest once the promise is on disk.
type BootstrapResponse struct {
	Round    uint64
	VoterSet VoterSet
	Store    uint64
	// Rejection says why the store takes no part. Empty is a promise to take part in no
	// bootstrap of a lower round.
	Rejection string
	// PromisedRound is the highest round that the store has promised.
	PromisedRound uint64
}

// BootstrapRecord is what a store's disk keeps of bootstraps. Its presence says that the
// store was first started with permission to bootstrap a cluster.
type BootstrapRecord struct {
	// Round is the highest round that was promised.
	Round uint64
	// PromisedVoterSets are all voter sets that were promised, the newest last.
	PromisedVoterSets []VoterSet
	// ExistingCluster says what showed that a cluster exists already, empty for nothing.
	ExistingCluster string
}

// Reasons of a Rejection. Operators see them at the proposing store.
const (
	rejectedForHigherRound = "a later founding was promised"
	rejectedForLostDisks   = "too many disks of an earlier founding are lost"
)

var _ = wire.Register(30, Bootstrap{}) && wire.RegisterNamed(36, "consensus.FoundingRequest", BootstrapRequest{}) &&
	wire.RegisterNamed(37, "consensus.FoundingResponse", BootstrapResponse{}) && wire.RegisterNamed(49, "consensus.FoundingRecord", BootstrapRecord{})

// Promise returns the record with a proposal added, or the reason to reject it. After an
// earlier promise, a proposal is promised only if both voter sets share a majority:
// otherwise the earlier one may have been at work on disks that are lost by now.
func (r BootstrapRecord) Promise(request BootstrapRequest) (next BootstrapRecord, rejection string) {
	if r.IsLastPromised(request) {
		return r, ""
	}
	if request.Round <= r.Round {
		return r, rejectedForHigherRound
	}
	for _, earlier := range r.PromisedVoterSets {
		if !earlier.IsQuorum(request.VoterSet.voterIDs()) {
			return r, rejectedForLostDisks
		}
	}
	r.Round = request.Round
	n := len(r.PromisedVoterSets)
	r.PromisedVoterSets = append(r.PromisedVoterSets[:n:n], request.VoterSet)
	return r, ""
}

// IsLastPromised reports whether a request is the one that was promised last.
func (r BootstrapRecord) IsLastPromised(request BootstrapRequest) bool {
	n := len(r.PromisedVoterSets)
	return n > 0 && request.Round == r.Round && r.PromisedVoterSets[n-1].SameVoters(request.VoterSet)
}

// MayAdopt reports whether a first voter set may be adopted from one of its members.
// After the promise of a higher round it may only if that member belongs to the higher
// round's voter set too: that member is active already, so the higher round, which needs
// the promise of all, can't be completed.
func (r BootstrapRecord) MayAdopt(bootstrap Bootstrap, from Voter) bool {
	if bootstrap.Round >= r.Round || bootstrap.VoterSet.LossCount > 0 {
		return true
	}
	return r.PromisedVoterSets[len(r.PromisedVoterSets)-1].HasVoter(from.ID)
}

// IncludesStore reports whether a store belongs to any voter set that was promised.
func (r BootstrapRecord) IncludesStore(store uint64) bool {
	for _, promised := range r.PromisedVoterSets {
		if promised.HasVoter(store) {
			return true
		}
	}
	return false
}
