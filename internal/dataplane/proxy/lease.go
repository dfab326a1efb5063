package proxy

import (
	"maps"
	"slices"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/dataplane/dispatch"
)

const (
	// DefaultLease is how long a proxy serves without a confirmation of its state. A change
	// must be in effect on every proxy within 2 to 3 s, even during a partition.
	DefaultLease = 2500 * time.Millisecond
	// UnlimitedLease is a lease that doesn't expire: a partitioned proxy keeps serving with the
	// last known state.
	UnlimitedLease = -1
	// maxConfirmationAge is the age of the last confirmation at which a proxy stops being
	// ready. A registry on the minority side of a partition still sends pushes, but can't
	// confirm anything new. It is less than DefaultLease, so that the directory stops
	// returning a proxy before that proxy has to reject requests.
	maxConfirmationAge = 1900 * time.Millisecond
	// pauseThreshold is the gap between ticks above which the process counts as paused. Each
	// dispatcher applies the same threshold to its own ticks.
	pauseThreshold = time.Second
	// unlimitedLeaseStartDelay is how long a newly started proxy with an unlimited lease
	// waits for a recent confirmation before it serves with an unconfirmed state.
	unlimitedLeaseStartDelay = 3 * time.Second
	// unlimitedLeaseEnd is the end time of an unlimited lease.
	unlimitedLeaseEnd ids.Time = 1 << 62
)

// leaseState holds the inputs of the proxy's lease, which permits it to forward requests with
// the known configuration and targets. It is unrelated to a registry's control lease. All
// times are local to this process.
type leaseState struct {
	// targetsConfirmedAt is the latest time as of which the known targets were confirmed by a
	// registry; 0 for never.
	targetsConfirmedAt ids.Time
	// configurationConfirmedAt is the start of the latest quorum read that returned the
	// known configuration as the newest; 0 for never.
	configurationConfirmedAt ids.Time
	// sentConfirmedAt is the value of confirmedAt last sent to the dispatchers.
	sentConfirmedAt ids.Time
	// resumedAt is the end of the last process pause. Earlier confirmations are invalid.
	resumedAt ids.Time
	lastTick  ids.Time
	// targetsReceived is set once a registry has pushed targets to this run of the process.
	targetsReceived bool
	// everConfirmed is set once a recent quorum read has confirmed the configuration.
	everConfirmed bool
	// unlimitedLeaseStarted is set once an unlimited lease has started.
	unlimitedLeaseStarted bool
	// unconfirmedSince is the time since which only a recent confirmation is missing to start
	// an unlimited lease; 0 before that.
	unconfirmedSince ids.Time
}

// confirmedAt returns the time as of which both configuration and targets are confirmed.
func (c *Control) confirmedAt() ids.Time {
	return min(c.configurationConfirmedAt, c.targetsConfirmedAt)
}

// leaseEnd returns the end of the lease, or 0 without a lease. No request is sent after it:
// other daemons assume from then on that a change, the draining of a zone or a
// target's departure has taken effect on this proxy.
func (c *Control) leaseEnd() ids.Time {
	if c.Lease == UnlimitedLease {
		// With an unlimited lease, changes take effect in time only on proxies that aren't
		// partitioned.
		if !c.unlimitedLeaseStarted {
			return 0
		}
		return unlimitedLeaseEnd
	}
	if c.confirmedAt() <= c.resumedAt {
		return 0
	}
	return c.confirmedAt().Add(c.Lease)
}

// leaseValid reports whether requests may be forwarded now.
func (c *Control) leaseValid(now ids.Time) bool { return now < c.leaseEnd() }

// renewLease sends the end of the lease to the dispatchers if there is a new confirmation.
func (c *Control) renewLease() {
	if c.confirmedAt() == c.sentConfirmedAt {
		return
	}
	c.sentConfirmedAt = c.confirmedAt()
	for _, service := range slices.Sorted(maps.Keys(c.view.Services)) {
		c.Emit(DispatchEvent{service, dispatch.LeaseUpdated{ExpiresAt: c.leaseEnd()}})
	}
}

// detectPause checks the time since the last tick. After a pause of the process, its state is
// invalid until it is confirmed again.
func (c *Control) detectPause(now ids.Time) {
	if gap := now.Sub(c.lastTick); c.lastTick != 0 && gap > pauseThreshold {
		c.resumedAt = now
		c.Log(event.LevelWarn, logProcessResumed, "gap_ms", formatMillis(gap))
	}
	c.lastTick = now
}

// startUnlimitedLease starts an unlimited lease, if configured, once the proxy has a
// configuration, targets and a recent confirmation: the state may come from a registry that
// has been partitioned for a long time. Without a confirmation the lease starts after
// unlimitedLeaseStartDelay, since a proxy that wasn't restarted would keep serving too.
func (c *Control) startUnlimitedLease(now ids.Time) {
	if c.unlimitedLeaseStarted || c.Lease != UnlimitedLease || c.view.Revision == 0 || !c.targetsReceived {
		return
	}
	switch {
	case c.everConfirmed:
		c.unlimitedLeaseStarted = true
	case c.unconfirmedSince == 0:
		c.unconfirmedSince = now
	case now.Sub(c.unconfirmedSince) >= unlimitedLeaseStartDelay:
		c.unlimitedLeaseStarted = true
		c.Log(event.LevelWarn, logServingUnconfirmed, "revision", formatUint(uint64(c.view.Revision)),
			"confirmed_ms_ago", formatMillis(now.Sub(c.configurationConfirmedAt)))
	}
}

// MaySend reports whether a request may still be sent: sendBefore has not passed, and the
// process was not paused since Control's last step. It is checked just before the first byte.
func MaySend(now, sendBefore, lastStep ids.Time) bool {
	return now < sendBefore && now.Sub(lastStep) <= pauseThreshold
}
