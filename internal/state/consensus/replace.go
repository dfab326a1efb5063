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
	OpLearned
)

// ReplaceRequest asks for a store to take another's place, or, where Lost is 0,
// to be added while there are fewer than Replicas.
type ReplaceRequest struct {
	New      Voter
	Lost     uint64
	Replicas int
}

// LearnedReport says that a voter's copy is complete.
type LearnedReport struct{ ID uint64 }

var _ = wire.Register(45, ReplaceRequest{}) && wire.Register(46, LearnedReport{})

// replace puts a newcomer in, unless too few would be left that can vote.
func replace(_ ids.Key, old, arg []byte) ([]byte, []byte) {
	set, ok := unpack[VoterSet](old)
	request, fine := unpack[ReplaceRequest](arg)
	if !ok || !fine || len(set.Incoming) > 0 || set.Has(request.New.ID) {
		return old, old
	}
	set.Previous, set.Voters = set.Voters, slices.Clone(set.Voters)
	switch at := slices.IndexFunc(set.Voters, func(v Voter) bool { return v.ID == request.Lost }); {
	case at >= 0:
		set.Voters[at] = request.New
	case request.Lost == 0 && len(set.Voters) < request.Replicas:
		set.Voters = append(set.Voters, request.New)
	default:
		return old, old
	}
	set.Learners = append(slices.Clone(set.Learners), request.New.ID)
	set.Learners = slices.DeleteFunc(set.Learners, func(id uint64) bool { return !set.Has(id) })
	if (len(set.Voters)-len(set.Learners))*2 <= len(set.Voters) {
		return old, old
	}
	set.Number++
	return write(old, set)
}

// learned strikes a voter off the list of learners.
func learned(_ ids.Key, old, arg []byte) ([]byte, []byte) {
	set, ok := unpack[VoterSet](old)
	report, fine := unpack[LearnedReport](arg)
	if !ok || !fine || !slices.Contains(set.Learners, report.ID) {
		return old, old
	}
	set.Learners = slices.DeleteFunc(slices.Clone(set.Learners), func(id uint64) bool { return id == report.ID })
	// Those before could not know of what is agreed from here on.
	set.Previous = nil
	set.Number++
	return write(old, set)
}
