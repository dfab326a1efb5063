package distribution

import (
	"time"

	"dunlinwell/internal/base/ids"
)

// ControlLease is how old a registry's last read from a majority of stores may be for
// the registry to act for the control plane: to confirm or reject changes, and to hand
// out its configuration as the one in force. docs/control.md lists what rests on it.
const ControlLease = 1500 * time.Millisecond

// ConfirmedAsOf returns the time, by the proxy's own clock, as of which the push's
// revision is known to be in force: the start of the majority read. The time that the
// echo travelled is counted against it, so it is never too late.
func (p Push) ConfirmedAsOf() ids.Time { return p.EchoedTime.Add(-p.readAge()) }

// TargetsAsOf returns the time, by the proxy's own clock, as of which the sender
// vouches for its targets. A registry without the control lease may be cut off from
// the registries that the targets send heartbeats to, so it vouches for them only as of
// its last majority read.
func (p Push) TargetsAsOf() ids.Time {
	if p.readAge() > ControlLease {
		return p.ConfirmedAsOf()
	}
	return p.EchoedTime
}

// readAge is the age of the majority read, rounded up.
func (p Push) readAge() time.Duration { return time.Duration(p.ReadAgeMillis+1) * time.Millisecond }
