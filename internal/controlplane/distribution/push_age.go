package distribution

import (
	"time"

	"dunlinwell/internal/base/ids"
)

// ControlLease is the maximum age of a registry's last read from a majority of stores for which the
// registry may confirm or reject changes and distribute its configuration as the one in force.
// docs/control.md lists what depends on it.
const ControlLease = 1500 * time.Millisecond

// ConfirmedAsOf returns the time, by the proxy's own clock, as of which the push's revision is known
// to be in force. It is never later than the start of the quorum read, because the network delay
// of the echoed acknowledgement is included in the age.
func (p Push) ConfirmedAsOf() ids.Time { return p.EchoedTime.Add(-p.readAge()) }

// TargetsAsOf returns the time, by the proxy's own clock, as of which the push proves its targets
// alive. A registry without the control lease may be partitioned from the registries that the
// targets send heartbeats to, so its targets only count as alive as of its last quorum read.
func (p Push) TargetsAsOf() ids.Time {
	if p.readAge() > ControlLease {
		return p.ConfirmedAsOf()
	}
	return p.EchoedTime
}

// readAge returns the age of the quorum read, rounded up.
func (p Push) readAge() time.Duration { return time.Duration(p.ReadAgeMillis+1) * time.Millisecond }
