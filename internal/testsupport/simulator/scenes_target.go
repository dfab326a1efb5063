package simulator

import (
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
)

// Scenes of targets.

func addressReusedDuringPartition(w *World) {
	w.every(3*time.Second, 8*time.Second, 4, func(i int) {
		p := w.some(membership.Proxy)
		w.trace("%s is cut off from the core", p.name)
		w.cutOff(6*time.Second, &cut{
			a: func(n string, _ ids.Name) bool { return n == p.name },
			b: func(n string, _ ids.Name) bool {
				q := w.named(n)
				return q != nil && q.role != membership.Proxy
			},
		})
		w.later(500*time.Millisecond, func() { w.handOver(w.targets[i%len(w.targets)], 3*time.Second) })
	})
}

func responsesLost(w *World) {
	for _, t := range w.targets {
		t.silentShare, t.corruptShare = 0.2, 0.1
	}
}

func drained(w *World) {
	for i, t := range w.targets {
		w.later(2*time.Second+time.Duration(i)*4*time.Second, func() {
			t.leave()
			w.later(5*time.Second, func() { t.crash() })
			w.later(7*time.Second, func() { w.again(t) })
		})
	}
}

// declaredDeadButRunning cuts targets off from the core, which counts them as gone,
// while a proxy that is cut off as well still reaches them.
func declaredDeadButRunning(w *World) {
	w.HoldConnectionsFor = 20 * time.Second
	w.every(2*time.Second, 6*time.Second, 7, func(int) {
		p := w.some(membership.Proxy)
		for _, t := range w.targets {
			if t.zone == p.zone {
				w.unheard(t, p, 11*time.Second)
			}
		}
	})
}

// departureThroughDyingRegistry lets a target say that it leaves to a registry that dies right
// after, which one proxy doesn't hear; nor does the core hear from it again.
func departureThroughDyingRegistry(w *World) {
	w.every(2*time.Second, 6*time.Second, 7, func(i int) {
		t, deaf := w.targets[i%len(w.targets)], w.some(membership.Proxy)
		t.leave()
		via := t.lastRegistry
		if via == nil {
			return
		}
		w.cutOff(2*time.Second, &cut{a: func(n string, _ ids.Name) bool { return n == via.name }, b: func(n string, _ ids.Name) bool { return n == deaf.name }})
		w.later(60*millisecond, func() {
			w.bounce(via, 4*time.Second)
			w.unheard(t, nil, 9*time.Second)
		})
		w.later(12*time.Second, func() { t.crash(); w.again(t) })
	})
}

func targetsFreeze(w *World) {
	w.every(2*time.Second, 1500*millisecond, 28, func(i int) {
		w.targets[i%len(w.targets)].freeze(w.between(time.Second, 9*time.Second))
	})
}
