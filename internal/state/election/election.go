// Package duty gives a one-daemon duty to one daemon at a time. Who does it
// is the first live one in the agreed order; what makes it safe is the epoch,
// raised through a register, below which everybody declines.
package election

import (
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/consensus"
	"dunlinwell/internal/transport/wire"
)

// OpTake takes a duty.
const OpTake consensus.Op = 10

// Key names a duty's register.
func Key(name string) ids.Key { return ids.Key("duty/" + name) }

// Held is a duty's register.
type Term struct {
	Epoch  ids.Epoch
	Holder ids.Daemon
	Start  ids.RunID
}

var _ = wire.Register(50, Term{})

// Ops are the change functions of duties.
func Ops() map[consensus.Op]consensus.ChangeFunc {
	return map[consensus.Op]consensus.ChangeFunc{OpTake: take}
}

// take gives the duty to whoever asks, and raises the epoch each time: one that
// gave the duty up and takes it again has a new epoch too, as what it sent
// before may still be on its way. Only a copy of an asking that has taken effect
// changes nothing: the taker didn't know yet of the epoch that it gave.
func take(_ ids.Key, old, arg []byte) ([]byte, []byte) {
	have, _ := Open(old)
	want, ok := Open(arg)
	if !ok {
		return old, old
	}
	sameRun := have.Holder == want.Holder && have.Start == want.Start
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

// Open reads a duty's register.
func Open(raw []byte) (Term, bool) {
	_, msg, err := wire.ReadBytes(raw)
	h, ok := msg.(Term)
	return h, ok && err == nil
}
