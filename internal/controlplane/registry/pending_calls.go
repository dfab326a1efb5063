package registry

import (
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/consensus"
)

const (
	// callTimeout limits how long a call waits for a majority that can be reached.
	callTimeout = 3 * time.Second
	// majorityTimeout is how long a call waits for a majority that hasn't been reached
	// since the call arrived. It is shorter than the second after which callers try
	// another registry.
	majorityTimeout = 800 * time.Millisecond
	// probeAfter is how long a call is pending before the stores are probed for a
	// majority. The probe is a read, which needs no disk sync, and can complete before
	// majorityTimeout.
	probeAfter = 250 * time.Millisecond
	// maxDeferLeases is the age of the last quorum read, in lease durations, up to which
	// a call waits for the lease to be renewed. Beyond it calls fail at once, as otherwise
	// each call during a partition would be delayed by majorityTimeout.
	maxDeferLeases = 2
)

// CallTimeout returns how long a call whose body has the given size waits for a majority.
// It includes the time to transfer the body to one store and from there to the others.
func CallTimeout(bytes int) time.Duration { return callTimeout + 2*consensus.TransferTime(bytes) }

// deferredCall is a call that arrived shortly after the lease expired.
type deferredCall struct {
	id       uint64
	deadline ids.Time
	start    func(now ids.Time)
}

// pendingCall is a call whose request to the stores is in progress.
type pendingCall struct {
	id       consensus.CallID
	arrived  ids.Time
	deadline ids.Time
}

// withLease starts a call that needs the agreement of a majority. Without the lease the call
// isn't sent to the stores, so that status 503 guarantees that it has no effect. If the lease
// expired only recently, as happens on a busy machine, the call first waits for its renewal;
// otherwise it fails at once. A registry that hasn't completed a quorum read since its
// start can't know whether a majority is reachable, and starts the call.
func (r *Registry) withLease(now ids.Time, id uint64, start func(now ids.Time)) {
	switch {
	case r.lease.renewedAt == 0 || r.lease.isHeld(now):
		start(now)
	case r.lease.age(now) <= maxDeferLeases*r.options.ControlLease:
		r.deferredCalls = append(r.deferredCalls, deferredCall{id: id, deadline: now.Add(majorityTimeout), start: start})
	default:
		r.replyUnavailable(id)
	}
}

// runDeferredCalls starts the deferred calls if the lease was renewed, and otherwise
// rejects those that are overdue.
func (r *Registry) runDeferredCalls(now ids.Time) {
	deferred := r.deferredCalls
	r.deferredCalls = nil
	for _, call := range deferred {
		switch {
		case r.lease.isHeld(now):
			call.start(now)
		case now >= call.deadline:
			r.replyUnavailable(call.id)
		default:
			r.deferredCalls = append(r.deferredCalls, call)
		}
	}
}

// trackPendingCall registers a call, whose body has the given size, to be abandoned early
// if no majority can be reached.
func (r *Registry) trackPendingCall(now ids.Time, bytes int, id consensus.CallID) {
	r.pendingCalls = append(r.pendingCalls, pendingCall{
		id:       id,
		arrived:  now,
		deadline: now.Add(majorityTimeout + consensus.TransferTime(bytes)),
	})
}

// abandonOverdueCalls abandons the calls whose deadline has passed without a sign that a
// majority can be reached. Calls to a slow majority continue: it still answers the probe
// that started after them, as reads need no disk sync.
func (r *Registry) abandonOverdueCalls(now ids.Time) {
	remaining := r.pendingCalls[:0]
	for _, call := range r.pendingCalls {
		if !r.Client.IsPending(call.id) {
			continue
		}
		if now >= call.deadline && !r.lease.renewedSince(call.arrived) {
			r.Client.Cancel(now, call.id)
			continue
		}
		remaining = append(remaining, call)
	}
	r.pendingCalls = remaining
}

// isProbeDue reports whether a call or departure has waited long enough for the stores to
// be probed for a majority.
func (r *Registry) isProbeDue(now ids.Time) bool {
	for _, call := range r.pendingCalls {
		if r.needsProbe(now, call.arrived) {
			return true
		}
	}
	for _, departure := range r.departures.waiting {
		if r.needsProbe(now, departure.arrived) {
			return true
		}
	}
	return false
}

// needsProbe reports whether a call or departure has waited for probeAfter without a quorum
// read that started after it arrived.
func (r *Registry) needsProbe(now, arrived ids.Time) bool {
	return now.Sub(arrived) >= probeAfter && !r.lease.renewedSince(arrived)
}
