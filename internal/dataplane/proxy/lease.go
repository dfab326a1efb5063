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
	// DefaultLease is how long a proxy serves by what it can't confirm: the
	// requirements give a change 2 to 3 s to be in force everywhere, whatever is cut.
	DefaultLease = 2500 * time.Millisecond
	// EndlessLease is the lease of a proxy that goes on serving by what it last knew,
	// however long it is cut off.
	EndlessLease = -1
	// maxConfirmationAge is the oldest confirmation by which a proxy still calls itself
	// ready: a registry on the minority side of a partition speaks, but confirms nothing
	// new. It lies below DefaultLease, so that the directory stops naming a proxy before
	// that proxy has to reject requests.
	maxConfirmationAge = 1900 * time.Millisecond
	// pauseThreshold is the longest gap between ticks (normally 50 ms) that is not
	// taken for a freeze of the process. Each dispatcher has the same, for its own ticks.
	pauseThreshold = time.Second
	// unlimitedLeaseStartDelay is how long a proxy with an endless lease that has just
	// started, and can't get a fresh confirmation, waits for one before it serves by
	// what registries have pushed.
	unlimitedLeaseStartDelay = 3 * time.Second
	// unlimitedLeaseEnd is the end of an endless lease.
	unlimitedLeaseEnd ids.Time = 1 << 62
)

// leaseState is what the proxy's lease is computed from: the right to forward requests by
// the configuration and the targets known here. (A registry's control lease is another.)
// All times are this process's own.
type leaseState struct {
	// targetsConfirmedAt is the time as of which a registry has confirmed the targets
	// known here; 0 for never.
	targetsConfirmedAt ids.Time
	// configurationConfirmedAt is when the latest majority read began that found the
	// configuration held here in force; 0 for never.
	configurationConfirmedAt ids.Time
	// sentConfirmedAt is the value of confirmedAt that the dispatchers last received.
	sentConfirmedAt ids.Time
	// resumedAt is when the process last woke from a freeze; nothing that was confirmed
	// before counts.
	resumedAt ids.Time
	lastTick  ids.Time
	// targetsReceived: a registry has pushed targets to this run of the process.
	targetsReceived bool
	// everConfirmed: the configuration was confirmed once by a recent majority read.
	everConfirmed bool
	// unlimitedLeaseStarted: the endless lease, of a proxy that has one, has begun.
	unlimitedLeaseStarted bool
	// unconfirmedSince is when such a proxy first had what it needs to serve, except
	// for a recent confirmation; 0 for not yet.
	unconfirmedSince ids.Time
}

// confirmedAt is the time as of which both configuration and targets are confirmed.
func (c *Control) confirmedAt() ids.Time {
	return min(c.configurationConfirmedAt, c.targetsConfirmedAt)
}

// leaseEnd is when the lease ends. No request is sent after that: an accepted change, a
// drained zone, a target that departed does not wait any longer for this proxy.
func (c *Control) leaseEnd() ids.Time {
	if c.Lease == EndlessLease {
		// The time limits of the requirements hold for proxies in touch with the
		// others; one that is cut off serves by what it last knew, if anything.
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

// leaseValid tells whether requests may be forwarded now.
func (c *Control) leaseValid(now ids.Time) bool { return now < c.leaseEnd() }

// renewLease sends the dispatchers the end of the lease if it has moved.
func (c *Control) renewLease() {
	if c.confirmedAt() == c.sentConfirmedAt {
		return
	}
	c.sentConfirmedAt = c.confirmedAt()
	for _, service := range slices.Sorted(maps.Keys(c.view.Services)) {
		c.Emit(DispatchEvent{service, dispatch.LeaseUpdated{ExpiresAt: c.leaseEnd()}})
	}
}

// detectPause compares the time with that of the last tick. After a freeze nothing that
// this proxy knows can be trusted until it is confirmed again.
func (c *Control) detectPause(now ids.Time) {
	if gap := now.Sub(c.lastTick); c.lastTick != 0 && gap > pauseThreshold {
		c.resumedAt = now
		c.Log(event.LevelWarn, logProcessResumed, "gap_ms", formatMillis(gap))
	}
	c.lastTick = now
}

// startUnlimitedLease begins an endless lease, with which the proxy serves from then on.
// What was pushed to it at its start may come from a registry that has been cut off for
// long, so it waits for a recent confirmation. If none can be had it starts all the same
// after unconfirmedStartDelay, as it would go on had it not been restarted, and logs
// that.
func (c *Control) startUnlimitedLease(now ids.Time) {
	if c.unlimitedLeaseStarted || c.Lease != EndlessLease || c.view.Revision == 0 || !c.targetsReceived {
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

// MaySend is checked just before the first byte of a request is sent: sendBefore has not
// passed, and the process was not frozen since the control machine last stepped.
func MaySend(now, sendBefore, lastStep ids.Time) bool {
	return now < sendBefore && now.Sub(lastStep) <= pauseThreshold
}
