package consensus

import (
	"slices"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/transport/wire"
)

// The voter set's own operations; numbers from 200 up are kept for them.
const (
	OpJoin Op = 200 + iota
	OpFinalize
	OpAbandon
)

// Joining asks for a store to take a lost one's place.
type JoinRequest struct {
	New    Voter
	LostID uint64
	// Replicas is how many stores the voter set may grow to, where Lost is 0.
	Replicas int
}

// Number names the voter set that a settling or abandoning is about.
type VoterSetNumber struct{ Number uint64 }

var _ = wire.Register(42, JoinRequest{}) && wire.Register(43, VoterSetNumber{})

// VoterSetOps are the change functions of the voter set's register. Each reads
// what it is asked to change and leaves anything else alone, so that several
// stores may ask for the same thing.
func VoterSetOps() map[Op]ChangeFunc {
	return map[Op]ChangeFunc{OpJoin: joinVoter, OpFinalize: finalizeVoterSet, OpAbandon: abandonJoin, OpReplace: replaceVoter, OpPromoteLearner: promoteLearner}
}

func encodeVoterSet(old []byte, r VoterSet) ([]byte, []byte) {
	raw, err := wire.Encode(r)
	if err != nil {
		return old, old
	}
	return raw, raw
}

// joinVoter makes the voter set joint: old and next must both agree from here on.
func joinVoter(_ ids.RegisterKey, old, arg []byte) ([]byte, []byte) {
	r, ok := decodeMessage[VoterSet](old)
	j, fine := decodeMessage[JoinRequest](arg)
	// One replacement at a time; another waits until this one is settled.
	if !ok || !fine || len(r.Incoming) > 0 || r.HasVoter(j.New.ID) {
		return old, old
	}
	r.Incoming = slices.Clone(r.Voters)
	switch at := slices.IndexFunc(r.Voters, func(s Voter) bool { return s.ID == j.LostID }); {
	case at >= 0:
		r.Incoming[at] = j.New
	case j.LostID == 0 && len(r.Voters) < j.Replicas:
		// Nobody is lost: there are to be more copies than were founded with.
		r.Incoming = append(r.Incoming, j.New)
	default:
		return old, old
	}
	r.Number++
	return encodeVoterSet(old, r)
}

// finalizeVoterSet ends the joint time once the newcomer holds a copy of everything.
func finalizeVoterSet(_ ids.RegisterKey, old, arg []byte) ([]byte, []byte) {
	r, ok := decodeMessage[VoterSet](old)
	n, fine := decodeMessage[VoterSetNumber](arg)
	if !ok || !fine || n.Number != r.Number || len(r.Incoming) == 0 {
		return old, old
	}
	r.Voters, r.Incoming = r.Incoming, nil
	r.Number++
	return encodeVoterSet(old, r)
}

// abandonJoin goes back to the old stores when the newcomer itself was lost.
// What was agreed meanwhile had a majority of the old as well.
func abandonJoin(_ ids.RegisterKey, old, arg []byte) ([]byte, []byte) {
	r, ok := decodeMessage[VoterSet](old)
	n, fine := decodeMessage[VoterSetNumber](arg)
	if !ok || !fine || n.Number != r.Number || len(r.Incoming) == 0 {
		return old, old
	}
	r.Incoming = nil
	r.Number++
	return encodeVoterSet(old, r)
}

// OpenVoterSet reads a voter set from a register's value.
func DecodeVoterSet(raw []byte) (VoterSet, bool) { return decodeMessage[VoterSet](raw) }
