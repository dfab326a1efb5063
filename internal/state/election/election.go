package election

import (
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/consensus"
	"dunlinwell/internal/transport/wire"
)

// OpAcquire acquires a role. Its argument is an encoded Term with the candidate and the
// highest epoch of the role that the candidate has seen.
const OpAcquire consensus.Op = 10

// Term is the value of a role's register.
type Term struct {
	// Epoch is the fencing token. It is higher than that of every earlier term.
	Epoch ids.Epoch
	// Holder is the daemon that holds the role, and RunID identifies the run of its process.
	Holder ids.DaemonID
	RunID  ids.RunID
}

var _ = wire.Register(50, Term{})

// RegisterKey returns the key of a role's register.
func RegisterKey(role string) ids.RegisterKey { return ids.RegisterKey("duty/" + role) }

// Ops returns the change functions of the roles' registers.
func Ops() map[consensus.Op]consensus.ChangeFunc {
	return map[consensus.Op]consensus.ChangeFunc{OpAcquire: acquire}
}

// DecodeTerm decodes the value of a role's register, and returns false if it is no Term.
func DecodeTerm(raw []byte) (Term, bool) {
	_, msg, err := wire.ReadBytes(raw)
	term, ok := msg.(Term)
	return term, ok && err == nil
}

// acquire assigns the role to the candidate and raises the epoch. A candidate that already
// holds the role gets a new epoch as well, since messages of its former term may still be
// in flight.
//
// A duplicate of an acquisition that took effect changes nothing. It is recognized by an
// epoch lower than the one that the same run was granted.
func acquire(_ ids.RegisterKey, old, arg []byte) (next, result []byte) {
	current, _ := DecodeTerm(old)
	candidate, ok := DecodeTerm(arg)
	if !ok {
		return old, old
	}
	sameRun := current.Holder == candidate.Holder && current.RunID == candidate.RunID
	if sameRun && current.Epoch > candidate.Epoch {
		return old, old
	}
	// The candidate's own epoch counts too, so that a register that was lost and created
	// again doesn't start below an epoch that other daemons have seen.
	candidate.Epoch = max(current.Epoch, candidate.Epoch) + 1
	raw, err := wire.Encode(candidate)
	if err != nil {
		return old, old
	}
	return raw, raw
}
