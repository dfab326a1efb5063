package registry

import (
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/consensus"
)

const (
	// callTimeout bounds how long a call waits for a majority that can be reached.
	callTimeout = 3 * time.Second
	// majorityTimeout is how long a call waits for a majority that hasn't been reached
	// since the call arrived. Callers turn to another registry after a second, or
	// later if the call has a large body.
	majorityTimeout = 800 * time.Millisecond
	// probeAfter is how long a call is under way before the stores are probed for a
	// majority. The probe is a read, which waits for no disk, and has 550 ms left for
	// its answer.
	probeAfter = 250 * time.Millisecond
	// maxDeferLeases is the age of the last agreement, in lease durations, up to which
	// a call waits for the lease to be renewed. Waiting longer would delay every call
	// of a partition by majorityTimeout.
	maxDeferLeases = 2
)

// CallTimeout gives how long a call whose body has so many bytes waits for a majority:
// a large body takes its time to one store and from there to the others.
func CallTimeout(bytes int) time.Duration { return callTimeout + 2*consensus.TransferTime(bytes) }

// deferredCall is a call that arrived shortly after the lease had lapsed.
type deferredCall struct {
	id       uint64
	deadline ids.Time
	start    func(now ids.Time)
}

// pendingCall is a call whose request to the stores is under way.
type pendingCall struct {
	id       consensus.CallID
	arrived  ids.Time
	deadline ids.Time
}

// withLease starts a call that needs an agreement of its own. Without the lease nothing
// of the call leaves this registry, so that a 503 surely means that it has no effect:
// it is answered at once if the lease lapsed long ago; if it has only just lapsed, as
// may happen on a busy machine, the call first waits for its renewal. A registry that
// has had no agreement yet can't tell, and starts the call.
func (r *Registry) withLease(now ids.Time, id uint64, start func(now ids.Time)) {
	switch {
	case r.lease.agreedAt == 0 || r.lease.isHeld(now):
		start(now)
	case r.lease.age(now) <= maxDeferLeases*r.options.ControlLease:
		r.deferredCalls = append(r.deferredCalls, deferredCall{id: id, deadline: now.Add(majorityTimeout), start: start})
	default:
		r.replyUnavailable(id)
	}
}

// runDeferredCalls starts the deferred calls if the lease was renewed, and else answers
// those that are overdue.
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

// trackPendingCall has a call, whose body has so many bytes, abandoned early if no
// majority can be reached.
func (r *Registry) trackPendingCall(now ids.Time, bytes int, id consensus.CallID) {
	r.pendingCalls = append(r.pendingCalls, pendingCall{
		id:       id,
		arrived:  now,
		deadline: now.Add(majorityTimeout + consensus.TransferTime(bytes)),
	})
}

// abandonOverdueCalls abandons the calls whose deadline has passed with no sign that a
// majority can be reached. A slow majority keeps its calls: it answers the probe that
// began after them, since reads wait for no disk.
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

// isProbeDue tells whether a call or departure has waited long enough for the stores to
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

// needsProbe tells whether what arrived at a moment waits for a sign of the majority.
func (r *Registry) needsProbe(now, arrived ids.Time) bool {
	return now.Sub(arrived) >= probeAfter && !r.lease.renewedSince(arrived)
}
