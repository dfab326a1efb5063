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
	// answerWithin is how long a call may wait for a majority that hasn't been
	// heard of since the call came. Its caller goes elsewhere after a second, and
	// later with a large body, which takes its time on the way to the stores.
	answerWithin = 800 * time.Millisecond
	// probeAfter is when a call that isn't answered yet has the stores asked
	// whether a majority is there at all.
	probeAfter = 250 * time.Millisecond
	// holdWithin is how many leases old an agreement may be for a call to wait
	// whether it is renewed.
	holdWithin = 2
	// lifetimeApart is how long an answer of the directory may be trusted that a
	// registry without the lease gives where any answer is better than none.
	lifetimeApart = 500 * time.Millisecond
)

// leased tells whether this registry may speak for the core.
func (f *Registry) leased(now ids.Time) bool { return f.age(now) <= f.options.ControlLease }

// heldCall is a call that came while the lease had only just ended.
type heldCall struct {
	id    uint64
	due   ids.Time
	begin func(now ids.Time)
}

// underLease begins a call that needs an agreement of its own. Without the lease
// nothing of it leaves, so that a 503 surely means that it has no effect: one that
// has been without for long says so at once, and one whose lease has only just
// ended, as may come of a busy machine, first waits whether it is renewed. A run
// that has just started can't know yet, and finds out by the call itself.
func (f *Registry) underLease(now ids.Time, id uint64, begin func(now ids.Time)) {
	switch {
	case f.agreed == 0 || f.leased(now):
		begin(now)
	case f.age(now) <= holdWithin*f.options.ControlLease:
		f.held = append(f.held, heldCall{id: id, due: now.Add(answerWithin), begin: begin})
	default:
		f.unavailable(id)
	}
}

// beginHeld begins the calls that waited for the lease, or ends their wait.
func (f *Registry) beginHeld(now ids.Time) {
	waiting := f.held
	f.held = nil
	for _, call := range waiting {
		switch {
		case f.leased(now):
			call.begin(now)
		case now >= call.due:
			f.unavailable(call.id)
		default:
			f.held = append(f.held, call)
		}
	}
}

// agreedSince tells whether an agreement is known that began after a moment.
func (f *Registry) agreedSince(moment ids.Time) bool { return f.agreed > moment }

// agreementCall is a control call that waits for an agreement of its own.
type agreementCall struct {
	id      consensus.CallID
	arrived ids.Time
	due     ids.Time
}

// await has a call of so many bytes ended early if the majority turns out to be
// out of reach.
func (f *Registry) await(now ids.Time, bytes int, id consensus.CallID) {
	f.awaited = append(f.awaited, agreementCall{id: id, arrived: now, due: now.Add(answerWithin + consensus.TransferTime(bytes))})
}

// endOverdue ends the calls that have waited for answerWithin while nothing
// shows that a majority can be reached. A slow majority keeps its calls: the
// probe that begins after them is answered by reads, which wait for no disk.
func (f *Registry) endOverdue(now ids.Time) {
	left := f.awaited[:0]
	for _, call := range f.awaited {
		if !f.Client.IsPending(call.id) {
			continue
		}
		if now >= call.due && !f.agreedSince(call.arrived) {
			f.Client.Abandon(now, call.id)
			continue
		}
		left = append(left, call)
	}
	f.awaited = left
}

// probeDue tells whether a call has waited long enough for the stores to be
// asked whether a majority is there.
func (f *Registry) probeDue(now ids.Time) bool {
	waits := func(arrived ids.Time) bool {
		return now.Sub(arrived) >= probeAfter && !f.agreedSince(arrived)
	}
	for _, call := range f.awaited {
		if waits(call.arrived) {
			return true
		}
	}
	for _, d := range f.departures {
		if waits(d.arrived) {
			return true
		}
	}
	return false
}

// lifetime is how long an answer of the directory may be trusted.
func (f *Registry) lifetime(now ids.Time) time.Duration {
	if f.leased(now) {
		return f.options.Lifetime
	}
	return min(f.options.Lifetime, lifetimeApart)
}

// readConfiguration keeps up with the configuration even where no news of it arrived.
func (f *Registry) readConfiguration(now ids.Time) {
	f.reading = true
	f.poll = now.Add(pollEvery)
	if f.options.Incremental && !f.Client.HadSilentStore(now) {
		// News of a change comes by itself; what this renews is the agreement's age.
		f.poll = now.Add(2 * pollEvery)
	}
	began := now
	f.Client.ReadIfChanged(now, configuration.Key, f.whole, f.sum, 2*time.Second, func(_ ids.Time, s consensus.Outcome, out []byte) {
		f.reading = false
		if s == consensus.Succeeded {
			f.agreed = max(f.agreed, began)
			f.adopt(out)
		}
	})
}
