package distribution

import (
	"time"

	"dunlinwell/internal/base/ids"
)

// ControlLease is how old an agreement may be for a registry to speak for the
// core: to confirm, to refuse, or to hand out what it knows as what holds.
const ControlLease = 1500 * time.Millisecond

// Agreed is when, by the proxy's own clock, the agreement began by which the
// push's revision is in force; the travel of the echo is counted against it.
func (p Push) Agreed() ids.Time { return p.Echo.Add(-p.age()) }

// Vouched is as of when, by the proxy's own clock, the sender answers for the
// targets that it tells. One without the control lease doesn't hear of those that
// call on the other side of a cut, so it answers for them as of its last agreement.
func (p Push) Vouched() ids.Time {
	if p.age() > ControlLease {
		return p.Agreed()
	}
	return p.Echo
}

// age is rounded so as never to seem shorter than it is.
func (p Push) age() time.Duration { return time.Duration(p.Age+1) * time.Millisecond }
