package distribution

import (
	"time"

	"dunlinwell/internal/base/ids"
)

// ControlLease is how old an agreement may be for a registry to speak for the
// core: to confirm, to refuse, or to hand out what it knows as what holds.
const ControlLease = 1500 * time.Millisecond

// ConfirmedAsOf is when, by the proxy's own clock, the agreement began by which the
// push's revision is in force; the travel of the echo is counted against it.
func (p Push) ConfirmedAsOf() ids.Time { return p.EchoedTime.Add(-p.readAge()) }

// TargetsAsOf is as of when, by the proxy's own clock, the sender answers for the
// targets that it tells. One without the control lease doesn't hear of those that
// call on the other side of a cut, so it answers for them as of its last agreement.
func (p Push) TargetsAsOf() ids.Time {
	if p.readAge() > ControlLease {
		return p.ConfirmedAsOf()
	}
	return p.EchoedTime
}

// readAge is rounded so as never to seem shorter than it is.
func (p Push) readAge() time.Duration { return time.Duration(p.ReadAgeMillis+1) * time.Millisecond }
