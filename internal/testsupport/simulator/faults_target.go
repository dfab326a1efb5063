package simulator

import (
	"time"

	"dunlinwell/internal/controlplane/membership"
)

// targetFaults are those of targets.
var targetFaults = []faultKind{
	{"target crashed", 1, func(w *World) {
		if t := w.someTarget(); t.up {
			t.crash()
			w.later(w.between(time.Second, 8*time.Second), func() { w.again(t) })
		}
	}},
	{"target drained", 1, func(w *World) {
		// Drained and removed, then taken back.
		if t := w.someTarget(); t.up {
			t.leave()
			w.later(5*time.Second, func() { t.crash() })
			w.later(5*time.Second+w.between(time.Second, 8*time.Second), func() { w.again(t) })
		}
	}},
	{"answers of a target lost", 1, func(w *World) {
		if t := w.someTarget(); t.up {
			t.silentShare, t.corruptShare = 0.2, 0.1
			w.later(w.between(time.Second, 8*time.Second), func() { t.silentShare, t.corruptShare = 0, 0 })
		}
	}},
	{"address handed on", 1, func(w *World) {
		if t := w.someTarget(); t.up {
			w.handOver(t, w.between(time.Second, 8*time.Second))
		}
	}},
	{"target restarted", 1, func(w *World) {
		if t := w.someTarget(); t.up {
			t.crash()
			w.later(50*millisecond, func() { w.again(t) })
		}
	}},
	{"target frozen", 1, func(w *World) { w.someTarget().freeze(w.between(time.Second, 8*time.Second)) }},
	{"target unheard", 1, func(w *World) { w.unheard(w.someTarget(), nil, w.between(4*time.Second, 9*time.Second)) }},
	{"target and a proxy unheard", 1, func(w *World) {
		w.unheard(w.someTarget(), w.some(membership.Proxy), w.between(4*time.Second, 9*time.Second))
	}},
}

func (w *World) someTarget() *target { return w.targets[w.random.IntN(len(w.targets))] }

// again starts a target that crashed, cold, unless its address is another's.
func (w *World) again(t *target) {
	if !t.up && w.targetByAddress[t.addr] == t {
		t.begin(true)
	}
}

// handOver gives a crashed target's address to one of another service, and the
// first one a new address.
func (w *World) handOver(t *target, back time.Duration) {
	t.crash()
	for _, other := range w.targets {
		if other.service == t.service || !other.up {
			continue
		}
		w.trace("%s takes the address of %s", other.id, t.id)
		other.crash()
		other.addr, t.addr = t.addr, other.addr
		other.begin(true)
		w.targetByAddress[t.addr] = t
		w.later(back, func() { w.again(t) })
		return
	}
	w.later(back, func() { w.again(t) })
}
