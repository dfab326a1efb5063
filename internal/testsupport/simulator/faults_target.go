package simulator

import (
	"time"

	"dunlinwell/internal/controlplane/membership"
)

// targetFaults are the faults of targets.
var targetFaults = []faultKind{
	{"target crashed", 1, func(w *World) {
		if t := w.randomTarget(); t.up {
			t.crash()
			w.schedule(w.randomDuration(time.Second, 8*time.Second), func() { w.restartTarget(t) })
		}
	}},
	{"target drained", 1, func(w *World) {
		// The target drains, stops and starts again later.
		if t := w.randomTarget(); t.up {
			t.drain()
			w.schedule(5*time.Second, func() { t.crash() })
			w.schedule(5*time.Second+w.randomDuration(time.Second, 8*time.Second), func() { w.restartTarget(t) })
		}
	}},
	{"responses of a target lost", 1, func(w *World) {
		if t := w.randomTarget(); t.up {
			t.lostResponseShare, t.corruptResponseShare = 0.2, 0.1
			w.schedule(w.randomDuration(time.Second, 8*time.Second), func() { t.lostResponseShare, t.corruptResponseShare = 0, 0 })
		}
	}},
	{"address reused by another target", 1, func(w *World) {
		if t := w.randomTarget(); t.up {
			w.reassignAddress(t, w.randomDuration(time.Second, 8*time.Second))
		}
	}},
	{"target restarted", 1, func(w *World) {
		if t := w.randomTarget(); t.up {
			t.crash()
			w.schedule(50*millisecond, func() { w.restartTarget(t) })
		}
	}},
	{"target frozen", 1, func(w *World) { w.randomTarget().freeze(w.randomDuration(time.Second, 8*time.Second)) }},
	{"target partitioned from the core", 1, func(w *World) {
		w.partitionTarget(w.randomTarget(), nil, w.randomDuration(4*time.Second, 9*time.Second))
	}},
	{"target and a proxy partitioned from the core", 1, func(w *World) {
		w.partitionTarget(w.randomTarget(), w.randomProcess(membership.Proxy), w.randomDuration(4*time.Second, 9*time.Second))
	}},
}

// randomTarget draws a target.
func (w *World) randomTarget() *target { return w.targets[w.random.IntN(len(w.targets))] }

// restartTarget starts a crashed target, with a slow start, unless another target has its address.
func (w *World) restartTarget(t *target) {
	if !t.up && w.targetByAddress[t.address] == t {
		t.start(true)
	}
}

// reassignAddress crashes a target and swaps its address with that of a target of another service,
// which restarts at once. The first target restarts after a delay.
func (w *World) reassignAddress(t *target, back time.Duration) {
	t.crash()
	for _, other := range w.targets {
		if other.service == t.service || !other.up {
			continue
		}
		w.trace("%s takes the address of %s", other.id, t.id)
		other.crash()
		other.address, t.address = t.address, other.address
		other.start(true)
		w.targetByAddress[t.address] = t
		w.schedule(back, func() { w.restartTarget(t) })
		return
	}
	w.schedule(back, func() { w.restartTarget(t) })
}
