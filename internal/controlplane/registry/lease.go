package registry

import (
	"time"

	"dunlinwell/internal/base/ids"
)

// A quorum read is a read of the configuration register from a majority of the stores. The
// age of a registry's last quorum read limits what it may do and how its peers treat it:
//
//	up to 1.2 s  peers start to trust it and assign proxies and targets to it (peers.go)
//	up to 1.2 s  it isn't isolated and may expire targets
//	up to 1.5 s  it may declare members dead
//	up to 1.5 s  it holds the control lease (Options.ControlLease)
//	up to 2.5 s  peers that already trust it continue to
//	up to 5 s    it reports itself ready; beyond that Status shows a warning
const (
	// isolatedAfter is the age of the last quorum read above which a registry is
	// considered isolated. It covers the read interval of one second and a retry at
	// another store.
	isolatedAfter = 1200 * time.Millisecond
	// readyWithinAge is the age of the last quorum read below which a registry reports
	// itself ready. It is longer than the lease, so that a slow read doesn't make
	// readiness flap.
	readyWithinAge = 5 * time.Second
	// declareDeadWithinAge is the age of the last quorum read below which a registry
	// may declare members dead. It is shorter than the suspicion timeout (at least
	// 1.8 s), so that a registry cut off from the majority never declares members dead.
	declareDeadWithinAge = 1500 * time.Millisecond
	// noQuorumReadAge is the age returned before the first quorum read; it exceeds
	// every limit that ages are compared with.
	noQuorumReadAge = time.Hour
)

// controlLease allows a registry to confirm changes, reject them and serve data. It is
// held while the last quorum read started at most duration ago.
//
// The lease starts when the read is sent, by this process's monotonic clock, so that
// network delay and a process pause can only shorten it.
// See docs/control/cutoff.md.
type controlLease struct {
	duration time.Duration
	// renewedAt is when the last quorum read started; zero if there was none.
	renewedAt ids.Time
}

// renew records a quorum read that started at began.
func (l *controlLease) renew(began ids.Time) { l.renewedAt = max(l.renewedAt, began) }

// age returns the time since the last quorum read started.
func (l *controlLease) age(now ids.Time) time.Duration {
	if l.renewedAt == 0 {
		return noQuorumReadAge
	}
	return now.Sub(l.renewedAt)
}

// isHeld reports whether the lease is valid.
func (l *controlLease) isHeld(now ids.Time) bool { return l.age(now) <= l.duration }

// isIsolated reports whether this registry may be on the minority side of a partition,
// where neither side learns about targets that send heartbeats to the other one.
func (l *controlLease) isIsolated(now ids.Time) bool { return l.age(now) > isolatedAfter }

// renewedSince reports whether a quorum read that started after moment has completed.
func (l *controlLease) renewedSince(moment ids.Time) bool { return l.renewedAt > moment }

// isReady reports whether this registry announces itself as ready.
func (r *Registry) isReady(now ids.Time) bool {
	return !r.stopping && r.lease.renewedAt != 0 && now.Sub(r.lease.renewedAt) < readyWithinAge
}

// mayDeclareDead reports whether this registry may declare members dead.
func (r *Registry) mayDeclareDead(now ids.Time) bool { return r.lease.age(now) < declareDeadWithinAge }
