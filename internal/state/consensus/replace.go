package consensus

import (
	"slices"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/transport/wire"
)

// Replacement of a voter in one step. The voter set changes at once, but the
// newcomer withholds its vote until its copy is complete (see standing.go), so
// no second change has to end anything and none can be left half done.
const (
	OpReplace Op = 210 + iota
	OpPromoteLearner
)

// ReplaceRequest asks for a store to take another's place, or, where Lost is 0,
// to be added while there are fewer than Replicas.
type ReplaceRequest struct {
	New      Voter
	LostID   uint64
	Replicas int
}

// PromoteLearnerRequest says that a voter's copy is complete.
type PromoteLearnerRequest struct{ ID uint64 }

var _ = wire.Register(45, ReplaceRequest{}) && wire.Register(46, PromoteLearnerRequest{})

// replaceVoter puts a newcomer in, unless too few would be left that can vote.
func replaceVoter(_ ids.RegisterKey, old, arg []byte) ([]byte, []byte) {
	set, ok := decodeMessage[VoterSet](old)
	request, fine := decodeMessage[ReplaceRequest](arg)
	if !ok || !fine || len(set.Incoming) > 0 || set.HasVoter(request.New.ID) {
		return old, old
	}
	set.Previous, set.Voters = set.Voters, slices.Clone(set.Voters)
	switch at := slices.IndexFunc(set.Voters, func(v Voter) bool { return v.ID == request.LostID }); {
	case at >= 0:
		set.Voters[at] = request.New
	case request.LostID == 0 && len(set.Voters) < request.Replicas:
		set.Voters = append(set.Voters, request.New)
	default:
		return old, old
	}
	set.Learners = append(slices.Clone(set.Learners), request.New.ID)
	set.Learners = slices.DeleteFunc(set.Learners, func(id uint64) bool { return !set.HasVoter(id) })
	if (len(set.Voters)-len(set.Learners))*2 <= len(set.Voters) {
		return old, old
	}
	set.Number++
	return encodeVoterSet(old, set)
}

// promoteLearner strikes a voter off the list of learners.
func promoteLearner(_ ids.RegisterKey, old, arg []byte) ([]byte, []byte) {
	set, ok := decodeMessage[VoterSet](old)
	report, fine := decodeMessage[PromoteLearnerRequest](arg)
	if !ok || !fine || !slices.Contains(set.Learners, report.ID) {
		return old, old
	}
	set.Learners = slices.DeleteFunc(slices.Clone(set.Learners), func(id uint64) bool { return id == report.ID })
	// Those before could not know of what is agreed from here on.
	set.Previous = nil
	set.Number++
	return encodeVoterSet(old, set)
}
