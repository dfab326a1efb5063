package simulator

import (
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
)

// longCut is the long cut of a core machine.
const longCut = 20 * time.Second

// networkFaults are those of links and connections.
var networkFaults = []faultKind{
	{"process cut off", 2, func(w *World) { w.isolate(w.some(0), w.short(), w.cutStyle()) }},
	{"core machine cut off for 20 s", 1, func(w *World) {
		m := w.machine(w.some(membership.Store))
		w.cutOffMachine(m, longCut, w.cutStyle())
		// At times new seeds name just this one, and proxies restart on them.
		if w.random.IntN(3) == 0 {
			w.turnSeeds(m)
			w.later(w.between(time.Second, 8*time.Second), func() { w.bounce(w.some(membership.Proxy), 300*millisecond) })
		}
	}},
	{"fleet split", 1, func(w *World) { w.split(w.short()) }},
	{"bad weather", 1, func(w *World) {
		w.network = networkConditions{loss: 0.05, double: 0.1, jitter: 40 * time.Millisecond}
		w.later(w.short(), func() { w.network = networkConditions{jitter: time.Millisecond} })
	}},
	{"connections reset", 2, func(w *World) {
		share, each := 0.1+0.9*w.random.Float64(), 0.3+0.7*w.random.Float64()
		for _, p := range w.living(0) {
			if w.random.Float64() < share {
				w.resetConnections(p.name, each)
			}
		}
	}},
	{"connections of the core reset", 1, func(w *World) {
		for _, p := range w.core() {
			w.resetConnections(p.name, 0.3+0.7*w.random.Float64())
		}
	}},
	{"answers to operators lost", 1, func(w *World) {
		w.answerLoss = 0.5 + 0.4*w.random.Float64()
		w.later(w.between(2*time.Second, 10*time.Second), func() { w.answerLoss = 0 })
	}},
}

// cutStyle is how a cut behaves.
type cutStyle struct {
	// oneWay: only what is sent from the one side is lost.
	oneWay bool
	// reset: the connections across it are reset as it begins.
	reset bool
	// refuse: new connections are refused at once, instead of being left open.
	refuse bool
}

// cutStyle draws how a cut behaves: silently, with resets, or refusing.
func (w *World) cutStyle() cutStyle {
	switch w.random.IntN(6) {
	case 0, 1:
		return cutStyle{oneWay: true}
	case 2:
		return cutStyle{reset: true}
	case 3:
		return cutStyle{reset: true, refuse: true}
	}
	return cutStyle{}
}

// cut keeps messages from one side from reaching the other.
type cut struct {
	a, b func(name string, zone ids.Name) bool
	cutStyle
}

// crosses tells whether the cut keeps what one end sends from the other.
func (c *cut) crosses(from string, fromZone ids.Name, to string, toZone ids.Name) bool {
	return c.a(from, fromZone) && c.b(to, toZone) || !c.oneWay && c.b(from, fromZone) && c.a(to, toZone)
}

// cutOff cuts one side from the other for a while.
func (w *World) cutOff(d time.Duration, c *cut) {
	w.cuts = append(w.cuts, c)
	if c.reset {
		w.resetAcross(c)
	}
	w.later(d, func() { w.mend(c) })
}

func (w *World) mend(c *cut) {
	for i, x := range w.cuts {
		if x == c {
			w.cuts = append(w.cuts[:i], w.cuts[i+1:]...)
			return
		}
	}
}

// isolate cuts a process off from everything.
func (w *World) isolate(p *process, d time.Duration, style cutStyle) {
	w.trace("%s is cut off: %+v", p.name, style)
	w.cutOff(d, &cut{
		a: func(n string, _ ids.Name) bool { return n == p.name },
		b: func(n string, _ ids.Name) bool { return n != p.name }, cutStyle: style,
	})
}

// cutOffMachine cuts a core machine off from the other ones; proxies, targets
// and operators still reach it.
func (w *World) cutOffMachine(m []*process, d time.Duration, style cutStyle) {
	inside := map[string]bool{}
	for _, p := range m {
		inside[p.name] = true
		w.trace("%s is cut off from the other core machines: %+v", p.name, style)
	}
	w.cutOff(d, &cut{
		a: func(n string, _ ids.Name) bool { return inside[n] },
		b: func(n string, _ ids.Name) bool { return !inside[n] && w.isCore(n) }, cutStyle: style,
	})
}

func (w *World) isCore(name string) bool {
	p := w.named(name)
	return p != nil && p.role != membership.Proxy
}

// split cuts the fleet in two halves that each see some of the proxies.
func (w *World) split(d time.Duration) {
	side := map[string]bool{}
	for _, p := range w.procs {
		side[p.name] = w.random.IntN(2) == 0
	}
	w.trace("the fleet splits")
	w.cutOff(d, &cut{
		a:        func(n string, _ ids.Name) bool { s, ok := side[n]; return ok && s },
		b:        func(n string, _ ids.Name) bool { s, ok := side[n]; return ok && !s },
		cutStyle: cutStyle{oneWay: w.random.IntN(3) == 0},
	})
}

// unheard cuts a target off from the core, which counts it as gone, while
// proxies still reach it; one of them may be cut off from the core as well.
func (w *World) unheard(t *target, with *process, d time.Duration) {
	w.trace("%s is cut off from the core", t.id)
	w.Checker.NetworkPartitioned()
	who := func(n string, _ ids.Name) bool { return n == string(t.id) || with != nil && n == with.name }
	w.cutOff(d, &cut{a: who, b: func(n string, _ ids.Name) bool { return w.isCore(n) }})
}
