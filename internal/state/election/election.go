// Package duty gives a one-daemon duty to one daemon at a time. Who does it
// is the first live one in the agreed order; what makes it safe is the epoch,
// raised through a register, below which everybody rejects.
package election

import (
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/consensus"
	"dunlinwell/internal/transport/wire"
)

// OpAcquire takes a duty.
const OpAcquire consensus.Op = 10

// RegisterKey names a duty's register.
func RegisterKey(name string) ids.RegisterKey { return ids.RegisterKey("duty/" + name) }

// Held is a duty's register.
type Term struct {
	Epoch  ids.Epoch
	Holder ids.DaemonID
	RunID  ids.RunID
}

var _ = wire.Register(50, Term{})

// Ops are the change functions of duties.
func Ops() map[consensus.Op]consensus.ChangeFunc {
	return map[consensus.Op]consensus.ChangeFunc{OpAcquire: acquire}
}

// acquire gives the duty to whoever asks, and raises the epoch each time: one that
// gave the duty up and takes it again has a new epoch too, as what it sent
// before may still be on its way. Only a copy of an asking that has taken effect
// changes nothing: the taker didn't know yet of the epoch that it gave.
func acquire(_ ids.RegisterKey, old, arg []byte) ([]byte, []byte) {
	have, _ := DecodeTerm(old)
	want, ok := DecodeTerm(arg)
	if !ok {
		return old, old
	}
	sameRun := have.Holder == want.Holder && have.RunID == want.RunID
	if sameRun && have.Epoch > want.Epoch {
		return old, old
	}
	// The taker tells the highest epoch it has met: a register that was lost
	// and founded anew must not begin below what others remember.
	want.Epoch = max(have.Epoch, want.Epoch) + 1
	raw, err := wire.Encode(want)
	if err != nil {
		return old, old
	}
	return raw, raw
}

// DecodeTerm reads a duty's register.
func DecodeTerm(raw []byte) (Term, bool) {
	_, msg, err := wire.ReadBytes(raw)
	h, ok := msg.(Term)
	return h, ok && err == nil
}
