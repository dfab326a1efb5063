package simulator

import (
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
)

// Scenes of cuts.

func oneWayCuts(w *World) {
	w.every(2*time.Second, 3*time.Second, 12, func(i int) {
		p := w.procs[i%len(w.procs)]
		w.trace("%s is cut off one way", p.name)
		in := func(n string, _ ids.Name) bool { return n == p.name }
		out := func(n string, _ ids.Name) bool { return n != p.name }
		c := &cut{a: in, b: out, cutStyle: cutStyle{oneWay: true}}
		if i%2 == 0 {
			c.a, c.b = out, in
		}
		w.cutOff(4*time.Second, c)
	})
}

func zoneDrainedDuringPartition(w *World) {
	w.every(3*time.Second, 16*time.Second, 3, func(int) {
		w.split(11 * time.Second)
		w.later(time.Second, func() { w.emptyZone() })
	})
}

// configurationMovedDuringPartition moves a route about while the core splits again and again.
func configurationMovedDuringPartition(w *World) {
	w.every(3*time.Second, 11*time.Second, 4, func(int) { w.split(7 * time.Second) })
	w.every(time.Second, 900*millisecond, 50, func(i int) { w.flip(5000 + i) })
}

// coreLostAndChanged loses the core but for two stores, which no proxy
// reaches, while a change is accepted: what proxies can't confirm must stop.
func coreLostAndChanged(w *World) {
	w.every(3*time.Second, 14*time.Second, 3, func(i int) {
		w.trace("the proxies are cut off from the core")
		w.cutOff(8*time.Second, &cut{
			a: func(n string, _ ids.Name) bool { q := w.named(n); return q != nil && q.role == membership.Proxy },
			b: func(n string, _ ids.Name) bool { q := w.named(n); return q != nil && q.role != membership.Proxy },
		})
		w.later(500*millisecond, func() { w.emptyZone(); w.flip(6000 + i) })
	})
}
