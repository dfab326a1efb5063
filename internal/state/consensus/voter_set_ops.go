package consensus

import (
	"slices"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/transport/wire"
)

// The change functions of the voter set's register replace one voter at a time. Current
// versions use OpReplace and OpPromoteLearner: the set changes in one step, but the new voter
// is a learner that withholds its vote until its disk is complete (DiskState). Earlier versions
// made the set joint with OpJoin and completed the replacement with OpFinalize or undid it with
// OpAbandon. These are kept for clusters that are being upgraded.

// Op numbers from 200 on are reserved for the voter set's register.
const (
	// OpJoin makes the set joint by adding a new voter to Incoming (JoinRequest).
	OpJoin Op = 200 + iota
	// OpFinalize makes Incoming the voters (VoterSetNumber).
	OpFinalize
	// OpAbandon drops Incoming (VoterSetNumber).
	OpAbandon
)

const (
	// OpReplace replaces a voter by a learner (ReplaceRequest).
	OpReplace Op = 210 + iota
	// OpPromoteLearner makes a learner a full voter (PromoteLearnerRequest).
	OpPromoteLearner
)

// JoinRequest is the argument of OpJoin.
type JoinRequest struct {
	New Voter
	// LostID is the voter to replace. If it is 0, the new voter is added, provided that
	// there are fewer than Replicas voters.
	LostID   uint64
	Replicas int
}

// VoterSetNumber is the argument of OpFinalize and OpAbandon. It identifies the joint voter set
// that they apply to.
type VoterSetNumber struct{ Number uint64 }

// ReplaceRequest is the argument of OpReplace.
type ReplaceRequest struct {
	New Voter
	// LostID is the voter to replace. If it is 0, the new voter is added, provided that
	// there are fewer than Replicas voters.
	LostID   uint64
	Replicas int
}

// PromoteLearnerRequest is the argument of OpPromoteLearner. ID is the voter whose copy is
// complete.
type PromoteLearnerRequest struct{ ID uint64 }

var _ = wire.Register(42, JoinRequest{}) && wire.Register(43, VoterSetNumber{}) &&
	wire.Register(45, ReplaceRequest{}) && wire.RegisterNamed(46, "consensus.LearnedReport", PromoteLearnerRequest{})

// VoterSetOps returns the change functions of the voter set's register. They change nothing if
// the set doesn't match their argument, so several stores may request the same change.
func VoterSetOps() map[Op]ChangeFunc {
	return map[Op]ChangeFunc{
		OpJoin:           joinVoter,
		OpFinalize:       finalizeVoterSet,
		OpAbandon:        abandonJoin,
		OpReplace:        replaceVoter,
		OpPromoteLearner: promoteLearner,
	}
}

// encodeVoterSet returns the encoded set as both the next value and the result of a change
// function, or the old value if encoding fails.
func encodeVoterSet(old []byte, set VoterSet) (next, result []byte) {
	raw, err := wire.Encode(set)
	if err != nil {
		return old, old
	}
	return raw, raw
}

// placeVoter returns the voters with the lost one replaced by the new one. If lostID is 0, it
// appends the new voter, provided that there are fewer than replicas. It reports whether it
// placed the voter.
func placeVoter(voters []Voter, voter Voter, lostID uint64, replicas int) ([]Voter, bool) {
	placed := slices.Clone(voters)
	switch i := slices.IndexFunc(placed, func(v Voter) bool { return v.ID == lostID }); {
	case i >= 0:
		placed[i] = voter
	case lostID == 0 && len(placed) < replicas:
		placed = append(placed, voter)
	default:
		return nil, false
	}
	return placed, true
}

func joinVoter(_ ids.RegisterKey, old, arg []byte) (next, result []byte) {
	set, ok := decodeMessage[VoterSet](old)
	request, okArg := decodeMessage[JoinRequest](arg)
	// Only one replacement may be in progress.
	if !ok || !okArg || len(set.Incoming) > 0 || set.HasVoter(request.New.ID) {
		return old, old
	}
	incoming, placed := placeVoter(set.Voters, request.New, request.LostID, request.Replicas)
	if !placed {
		return old, old
	}
	set.Incoming = incoming
	set.Number++
	return encodeVoterSet(old, set)
}

// jointVoterSet decodes a voter set and reports whether it is joint and matches the
// VoterSetNumber in arg.
func jointVoterSet(old, arg []byte) (VoterSet, bool) {
	set, ok := decodeMessage[VoterSet](old)
	request, okArg := decodeMessage[VoterSetNumber](arg)
	return set, ok && okArg && request.Number == set.Number && len(set.Incoming) > 0
}

// finalizeVoterSet ends a joint set after the new voter has copied all registers.
func finalizeVoterSet(_ ids.RegisterKey, old, arg []byte) (next, result []byte) {
	set, ok := jointVoterSet(old, arg)
	if !ok {
		return old, old
	}
	set.Voters, set.Incoming = set.Incoming, nil
	set.Number++
	return encodeVoterSet(old, set)
}

// abandonJoin reverts a joint set to the old voters if the new one was lost. Every value
// chosen in between also has a majority of the old voters.
func abandonJoin(_ ids.RegisterKey, old, arg []byte) (next, result []byte) {
	set, ok := jointVoterSet(old, arg)
	if !ok {
		return old, old
	}
	set.Incoming = nil
	set.Number++
	return encodeVoterSet(old, set)
}

// replaceVoter replaces a voter by a learner, or adds a learner, unless that would leave too few
// voters with a complete copy.
func replaceVoter(_ ids.RegisterKey, old, arg []byte) (next, result []byte) {
	set, ok := decodeMessage[VoterSet](old)
	request, okArg := decodeMessage[ReplaceRequest](arg)
	if !ok || !okArg || len(set.Incoming) > 0 || set.HasVoter(request.New.ID) {
		return old, old
	}
	voters, placed := placeVoter(set.Voters, request.New, request.LostID, request.Replicas)
	if !placed {
		return old, old
	}
	set.Previous, set.Voters = set.Voters, voters
	set.Learners = append(slices.Clone(set.Learners), request.New.ID)
	set.Learners = slices.DeleteFunc(set.Learners, func(id uint64) bool { return !set.HasVoter(id) })
	if complete := len(set.Voters) - len(set.Learners); complete*2 <= len(set.Voters) {
		return old, old
	}
	set.Number++
	return encodeVoterSet(old, set)
}

// promoteLearner removes a voter from the learners.
func promoteLearner(_ ids.RegisterKey, old, arg []byte) (next, result []byte) {
	set, ok := decodeMessage[VoterSet](old)
	request, okArg := decodeMessage[PromoteLearnerRequest](arg)
	if !ok || !okArg || !slices.Contains(set.Learners, request.ID) {
		return old, old
	}
	set.Learners = slices.DeleteFunc(slices.Clone(set.Learners), func(id uint64) bool { return id == request.ID })
	// Voters that were replaced don't receive values chosen from now on.
	set.Previous = nil
	set.Number++
	return encodeVoterSet(old, set)
}
