package consensus

import "dunlinwell/internal/transport/wire"

// Bootstrap sends the initial voter set and the initial configuration to a blank member
// of that set.
type Bootstrap struct {
	VoterSet      VoterSet
	Configuration []byte
	// Round is the bootstrap round in which the voter set was proposed.
	Round uint64
}

// BootstrapRequest asks a blank store to join a proposed initial voter set.
type BootstrapRequest struct {
	// Round orders the proposals, as a ballot does.
	Round    uint64
	VoterSet VoterSet
}

// BootstrapResponse is the response to a BootstrapRequest. A promise is sent once it is on
// disk.
type BootstrapResponse struct {
	Round    uint64
	VoterSet VoterSet
	Store    uint64
	// Rejection is the reason for a rejection. If empty, the store promises to join no
	// bootstrap of a lower round.
	Rejection string
	// PromisedRound is the highest round that the store has promised.
	PromisedRound uint64
}

// BootstrapRecord is a store's persistent bootstrap state. A blank store writes it if it is
// permitted to bootstrap a cluster or, also without permission, if it sees evidence of an
// existing cluster, which forbids the bootstrap. A member of an initial voter set writes it
// with the round of its bootstrap.
type BootstrapRecord struct {
	// Round is the highest promised round.
	Round uint64
	// PromisedVoterSets lists all promised voter sets, the newest last.
	PromisedVoterSets []VoterSet
	// ExistingCluster describes the evidence that a cluster already exists, empty for none.
	ExistingCluster string
}

// Values of BootstrapResponse.Rejection, which the proposing store shows to operators.
const (
	rejectedForHigherRound = "a later founding was promised"
	rejectedForLostDisks   = "too many disks of an earlier founding are lost"
)

var _ = wire.Register(30, Bootstrap{}) && wire.RegisterNamed(36, "consensus.FoundingRequest", BootstrapRequest{}) &&
	wire.RegisterNamed(37, "consensus.FoundingResponse", BootstrapResponse{}) && wire.RegisterNamed(49, "consensus.FoundingRecord", BootstrapRecord{})

// Promise returns the record with the proposal added, or the reason for its rejection. The
// proposal must include a majority of every voter set promised earlier. Otherwise an earlier
// set may have been active on disks that have since been lost.
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

// IsLastPromised reports whether a request is the one promised last.
func (r BootstrapRecord) IsLastPromised(request BootstrapRequest) bool {
	n := len(r.PromisedVoterSets)
	return n > 0 && request.Round == r.Round && r.PromisedVoterSets[n-1].SameVoters(request.VoterSet)
}

// MayAdopt reports whether an initial voter set may be adopted from one of its members.
// If a higher round was promised since, that member must also belong to the higher round's
// voter set: it is already active, so the higher round, which needs a promise from every
// member, can't complete.
func (r BootstrapRecord) MayAdopt(bootstrap Bootstrap, from Voter) bool {
	if bootstrap.Round >= r.Round || bootstrap.VoterSet.LossCount > 0 {
		return true
	}
	return r.PromisedVoterSets[len(r.PromisedVoterSets)-1].HasVoter(from.ID)
}

// IncludesStore reports whether a store belongs to any promised voter set.
func (r BootstrapRecord) IncludesStore(store uint64) bool {
	for _, promised := range r.PromisedVoterSets {
		if promised.HasVoter(store) {
			return true
		}
	}
	return false
}
