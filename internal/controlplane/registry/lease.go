package registry

import (
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/configuration"
	"dunlinwell/internal/state/consensus"
)

// The control lease. A registry speaks for the core only while the newest
// agreement on the configuration that it knows of began within the control lease on its own
// monotonic clock. An agreement counts from the moment the registry asked for
// it, so that the way to the stores and back, and a freeze of this process in
// between, shorten the lease and never lengthen it.
const (
	// majorityTimeout is how long a call may wait for a majority that hasn't been
	// heard of since the call came. Its caller goes elsewhere after a second, and
	// later with a large body, which takes its time on the way to the stores.
	majorityTimeout = 800 * time.Millisecond
	// probeAfter is when a call that isn't answered yet has the stores asked
	// whether a majority is there at all.
	probeAfter = 250 * time.Millisecond
	// maxDeferLeases is how many leases old an agreement may be for a call to wait
	// whether it is renewed.
	maxDeferLeases = 2
	// lifetimeWithoutLease is how long an answer of the directory may be trusted that a
	// registry without the lease gives where any answer is better than none.
	lifetimeWithoutLease = 500 * time.Millisecond
)

// hasLease tells whether this registry may speak for the core.
func (r *Registry) hasLease(now ids.Time) bool { return r.agreementAge(now) <= r.options.ControlLease }

// deferredCall is a call that came while the lease had only just ended.
type deferredCall struct {
	id       uint64
	deadline ids.Time
	start    func(now ids.Time)
}

// withLease begins a call that needs an agreement of its own. Without the lease
// nothing of it leaves, so that a 503 surely means that it has no effect: one that
// has been without for long says so at once, and one whose lease has only just
// ended, as may come of a busy machine, first waits whether it is renewed. A run
// that has just started can't know yet, and finds out by the call itself.
func (r *Registry) withLease(now ids.Time, id uint64, begin func(now ids.Time)) {
	switch {
	case r.agreedAt == 0 || r.hasLease(now):
		begin(now)
	case r.agreementAge(now) <= maxDeferLeases*r.options.ControlLease:
		r.deferredCalls = append(r.deferredCalls, deferredCall{id: id, deadline: now.Add(majorityTimeout), start: begin})
	default:
		r.replyUnavailable(id)
	}
}

// runDeferredCalls begins the calls that waited for the lease, or ends their wait.
func (r *Registry) runDeferredCalls(now ids.Time) {
	waiting := r.deferredCalls
	r.deferredCalls = nil
	for _, call := range waiting {
		switch {
		case r.hasLease(now):
			call.start(now)
		case now >= call.deadline:
			r.replyUnavailable(call.id)
		default:
			r.deferredCalls = append(r.deferredCalls, call)
		}
	}
}

// agreedSince tells whether an agreement is known that began after a moment.
func (r *Registry) agreedSince(moment ids.Time) bool { return r.agreedAt > moment }

// pendingCall is a control call that waits for an agreement of its own.
type pendingCall struct {
	id       consensus.CallID
	arrived  ids.Time
	deadline ids.Time
}

// trackPendingCall has a call of so many bytes ended early if the majority turns out to be
// out of reach.
func (r *Registry) trackPendingCall(now ids.Time, bytes int, id consensus.CallID) {
	r.pendingCalls = append(r.pendingCalls, pendingCall{id: id, arrived: now, deadline: now.Add(majorityTimeout + consensus.TransferTime(bytes))})
}

// abandonOverdueCalls ends the calls that have waited for answerWithin while nothing
// shows that a majority can be reached. A slow majority keeps its calls: the
// probe that begins after them is answered by reads, which wait for no disk.
func (r *Registry) abandonOverdueCalls(now ids.Time) {
	left := r.pendingCalls[:0]
	for _, call := range r.pendingCalls {
		if !r.Client.IsPending(call.id) {
			continue
		}
		if now >= call.deadline && !r.agreedSince(call.arrived) {
			r.Client.Abandon(now, call.id)
			continue
		}
		left = append(left, call)
	}
	r.pendingCalls = left
}

// probeDue tells whether a call has waited long enough for the stores to be
// asked whether a majority is there.
func (r *Registry) probeDue(now ids.Time) bool {
	waits := func(arrived ids.Time) bool {
		return now.Sub(arrived) >= probeAfter && !r.agreedSince(arrived)
	}
	for _, call := range r.pendingCalls {
		if waits(call.arrived) {
			return true
		}
	}
	for _, d := range r.departures {
		if waits(d.arrived) {
			return true
		}
	}
	return false
}

// resolutionLifetime is how long an answer of the directory may be trusted.
func (r *Registry) resolutionLifetime(now ids.Time) time.Duration {
	if r.hasLease(now) {
		return r.options.Lifetime
	}
	return min(r.options.Lifetime, lifetimeWithoutLease)
}

// pollConfiguration keeps up with the configuration even where no news of it arrived.
func (r *Registry) pollConfiguration(now ids.Time) {
	r.readPending = true
	r.nextRead = now.Add(pollInterval)
	if r.options.Incremental && !r.Client.HadSilentStore(now) {
		// News of a change comes by itself; what this renews is the agreement's age.
		r.nextRead = now.Add(2 * pollInterval)
	}
	began := now
	r.Client.ReadIfChanged(now, configuration.Key, r.registerValue, r.registerChecksum, 2*time.Second, func(_ ids.Time, outcome consensus.Outcome, out []byte) {
		r.readPending = false
		if outcome == consensus.Succeeded {
			r.agreedAt = max(r.agreedAt, began)
			r.adoptConfiguration(out)
		}
	})
}
