package simulator

import (
	"time"

	"dunlinwell/internal/ids"
	"dunlinwell/internal/membership"
)

func init() {
	Scenes["gone-but-running"] = goneButRunning
	Scenes["left-to-a-dying-registry"] = leftToDying
	Scenes["policy-moves-while-the-core-splits"] = movedInSplit
	Scenes["targets-freeze-and-wake"] = targetsFreeze
	Scenes["whole-core-lost-and-changed"] = coreLostAndChanged
}

// goneButRunning cuts targets off from the core, which counts them as gone,
// while a proxy that is cut off as well still reaches them.
func goneButRunning(w *World) {
	w.Hold = 20 * time.Second
	w.every(2*time.Second, 6*time.Second, 7, func(int) {
		p := w.some(membership.Proxy)
		for _, t := range w.pool {
			if t.cell == p.cell {
				w.unheard(t, p, 11*time.Second)
			}
		}
	})
}

// leftToDying lets a target say that it leaves to a registry that dies right
// after, which one proxy doesn't hear; nor does the core hear from it again.
func leftToDying(w *World) {
	w.every(2*time.Second, 6*time.Second, 7, func(i int) {
		t, deaf := w.pool[i%len(w.pool)], w.some(membership.Proxy)
		t.leave()
		via := t.via
		if via == nil {
			return
		}
		w.cutOff(2*time.Second, &cut{a: func(n string, _ ids.Name) bool { return n == via.name }, b: func(n string, _ ids.Name) bool { return n == deaf.name }})
		w.later(60*ms, func() {
			w.bounce(via, 4*time.Second)
			w.unheard(t, nil, 9*time.Second)
		})
		w.later(12*time.Second, func() { t.crash(); w.again(t) })
	})
}

// movedInSplit moves a route about while the core splits again and again.
func movedInSplit(w *World) {
	w.every(3*time.Second, 11*time.Second, 4, func(int) { w.splitCore(7 * time.Second) })
	w.every(time.Second, 900*ms, 50, func(i int) { w.flip(5000 + i) })
}

func targetsFreeze(w *World) {
	w.every(2*time.Second, 1500*ms, 28, func(i int) {
		w.pool[i%len(w.pool)].freeze(w.between(time.Second, 9*time.Second))
	})
}

// coreLostAndChanged loses the core but for two stores, which no proxy
// reaches, while a change is accepted: what proxies can't confirm must stop.
func coreLostAndChanged(w *World) {
	w.every(3*time.Second, 14*time.Second, 3, func(i int) {
		w.trace("the proxies are cut off from the core")
		w.cutOff(8*time.Second, &cut{a: func(n string, _ ids.Name) bool { q := w.named(n); return q != nil && q.role == membership.Proxy },
			b: func(n string, _ ids.Name) bool { q := w.named(n); return q != nil && q.role != membership.Proxy }})
		w.later(500*ms, func() { w.emptyCell(); w.flip(6000 + i) })
	})
}
