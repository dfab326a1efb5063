package registry

import (
	"time"

	"dunlinwell/internal/base/ids"
)

// An agreement is a read of the configuration's register from a majority of the stores. How
// old the last one is decides what a registry may do, and what others expect of it:
//
//	up to 1.2 s  peers begin to trust it (peers.go: they assign proxies and targets to it)
//	up to 1.2 s  it isn't isolated: targets may be expired here
//	up to 1.5 s  it may declare members dead
//	up to 1.5 s  it holds the control lease (Options.ControlLease)
//	up to 2.5 s  peers that trust it go on to do so
//	up to 5 s    it reports itself ready; past that Status warns
const (
	// isolatedAfter is how old the last agreement may be before a registry counts as
	// isolated. Reads begin every second, and one that a lost store delays is
	// answered by the next store within this time.
	isolatedAfter = 1200 * time.Millisecond
	// readyWithinAge is how old the last agreement may be for a registry to report
	// itself ready. It is longer than the lease, so that readiness doesn't flap with
	// each slow read.
	readyWithinAge = 5 * time.Second
	// declareDeadWithinAge is how old the last agreement may be for a registry to
	// declare members dead. It is shorter than the silence that precedes a
	// declaration (1.8 s at least), so that a registry cut off from the majority
	// never declares anybody dead.
	declareDeadWithinAge = 1500 * time.Millisecond
	// ageWithoutAgreement is the age reported while there has been no agreement: longer
	// than any limit that ages are compared with.
	ageWithoutAgreement = time.Hour
)

// controlLease is the right of a registry to confirm, reject or hand out anything. It
// is held while the newest agreement on the configuration (a read of its register at a
// majority of the stores) began at most duration ago.
//
// An agreement counts from the moment at which the registry asked for it, by its own
// monotonic clock, so that network delay and a freeze of this process shorten the
// lease and never lengthen it. See docs/control/cutoff.md.
type controlLease struct {
	duration time.Duration
	// agreedAt is when the newest agreement began; zero if there was none.
	agreedAt ids.Time
}

// renew notes an agreement that began at a moment.
func (l *controlLease) renew(began ids.Time) { l.agreedAt = max(l.agreedAt, began) }

// age gives the time since the last agreement began.
func (l *controlLease) age(now ids.Time) time.Duration {
	if l.agreedAt == 0 {
		return ageWithoutAgreement
	}
	return now.Sub(l.agreedAt)
}

// isHeld tells whether this registry may speak for the control plane.
func (l *controlLease) isHeld(now ids.Time) bool { return l.age(now) <= l.duration }

// isIsolated tells whether this registry may be on the minority side of a partition:
// it doesn't hear of targets that heartbeat to the other side, nor does that side hear
// of those that heartbeat here.
func (l *controlLease) isIsolated(now ids.Time) bool { return l.age(now) > isolatedAfter }

// renewedSince tells whether an agreement is known that began after a moment.
func (l *controlLease) renewedSince(moment ids.Time) bool { return l.agreedAt > moment }

// isReady tells whether this registry reports itself ready to the others.
func (r *Registry) isReady(now ids.Time) bool {
	return !r.stopping && r.lease.agreedAt != 0 && now.Sub(r.lease.agreedAt) < readyWithinAge
}

// mayDeclareDead tells whether this registry may declare members dead.
func (r *Registry) mayDeclareDead(now ids.Time) bool { return r.lease.age(now) < declareDeadWithinAge }
