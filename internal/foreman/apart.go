package foreman

import (
	"time"

	"dunlinwell/internal/ticket"
	"dunlinwell/internal/yard"
)

// apartAfter is how old an agreement may be before a foreman counts as apart
// from its majority. Reads come every pollEvery, and one that a lost stockroom
// holds up is answered by the next within this.
const apartAfter = 1200 * time.Millisecond

// apart tells whether this foreman may stand on the lesser side of a split: it
// hears neither of the targets that call on the other side, nor do those there
// hear of the ones that call here.
func (f *Foreman) apart(now ticket.Tick) bool { return f.age(now) > apartAfter }

// silent gives the targets that have been silent for too long. A foreman apart
// doesn't judge: those that it misses call on others. It counts anew once it is
// back, as their silence was its own.
func (f *Foreman) silent(now ticket.Tick) []yard.Target {
	if f.apart(now) {
		f.Yard.Excuse(now)
	}
	return f.Yard.Clock(now)
}

// answerable tells whether there is anyone to read the policy from. A foreman
// that just started knows nobody yet; an ask that leaves no one's way would
// hold the next one up for the whole span of a try.
func (f *Foreman) answerable() bool { return !f.params.Thrifty || len(f.stores("")) > 0 }
