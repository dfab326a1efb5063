package consensus

import (
	"slices"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/transport/wire"
)

// The change functions of the voter set's register replace one voter at a time. Current
// versions use OpReplace and OpPromoteLearner: the set changes at once, but the new voter
// is a learner and withholds its vote until its disk is complete (DiskState), so a
// replacement can't be left half done. Earlier versions made the set joint by OpJoin, and
// ended that by OpFinalize or OpAbandon; these stay for clusters that are upgraded.

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
	// OpReplace puts a learner in a voter's place (ReplaceRequest).
	OpReplace Op = 210 + iota
	// OpPromoteLearner makes a learner a full voter (PromoteLearnerRequest).
	OpPromoteLearner
)

// JoinRequest is the argument of OpJoin.
type JoinRequest struct {
	New Voter
	// LostID is the voter to replace. With 0 the new voter is added while there are
	// fewer than Replicas.
	LostID   uint64
	Replicas int
}

// VoterSetNumber is the argument of OpFinalize and OpAbandon: the voter set that they
// are meant for.
type VoterSetNumber struct{ Number uint64 }

// ReplaceRequest is the argument of OpReplace.
type ReplaceRequest struct {
	New Voter
	// LostID is the voter to replace. With 0 the new voter is added while there are
	// fewer than Replicas.
	LostID   uint64
	Replicas int
}

// PromoteLearnerRequest is the argument of OpPromoteLearner: the voter whose copy is
// complete.
type PromoteLearnerRequest struct{ ID uint64 }

var _ = wire.Register(42, JoinRequest{}) && wire.Register(43, VoterSetNumber{}) &&
	wire.Register(45, ReplaceRequest{}) && wire.RegisterNamed(46, "consensus.LearnedReport", PromoteLearnerRequest{})

// VoterSetOps returns the change functions of the voter set's register. Each changes
// nothing unless the set is as its argument says, so several stores may ask for the same.
func VoterSetOps() map[Op]ChangeFunc {
	return map[Op]ChangeFunc{
		OpJoin:           joinVoter,
		OpFinalize:       finalizeVoterSet,
		OpAbandon:        abandonJoin,
		OpReplace:        replaceVoter,
		OpPromoteLearner: promoteLearner,
	}
}

// encodeVoterSet returns a changed set as both results of a change function, or the old
// value if it can't be encoded.
func encodeVoterSet(old []byte, set VoterSet) (next, result []byte) {
	raw, err := wire.Encode(set)
	if err != nil {
		return old, old
	}
	return raw, raw
}

// placeVoter returns the voters with a new one in the place of a lost one, or, if none is
// lost, behind them while there are fewer than replicas. It reports whether it could.
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
	// One replacement at a time; another waits until this one is finalized.
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

// jointVoterSet returns the joint set that a VoterSetNumber is meant for.
func jointVoterSet(old, arg []byte) (VoterSet, bool) {
	set, ok := decodeMessage[VoterSet](old)
	request, okArg := decodeMessage[VoterSetNumber](arg)
	return set, ok && okArg && request.Number == set.Number && len(set.Incoming) > 0
}

// finalizeVoterSet ends a joint set once the new voter holds a copy of everything.
func finalizeVoterSet(_ ids.RegisterKey, old, arg []byte) (next, result []byte) {
	set, ok := jointVoterSet(old, arg)
	if !ok {
		return old, old
	}
	set.Voters, set.Incoming = set.Incoming, nil
	set.Number++
	return encodeVoterSet(old, set)
}

// abandonJoin returns to the old voters when the new one itself was lost. All that was
// agreed meanwhile had a majority of the old voters as well.
func abandonJoin(_ ids.RegisterKey, old, arg []byte) (next, result []byte) {
	set, ok := jointVoterSet(old, arg)
	if !ok {
		return old, old
	}
	set.Incoming = nil
	set.Number++
	return encodeVoterSet(old, set)
}

// replaceVoter puts a learner in, unless too few voters with a complete copy would be left.
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
	// Voters from before the replacement can't know of what is agreed from here on.
	set.Previous = nil
	set.Number++
	return encodeVoterSet(old, set)
}
