package simulator

import (
	"time"

	"dunlinwell/internal/blueprint"
	"dunlinwell/internal/ids"
	"dunlinwell/internal/membership"
	"dunlinwell/internal/store"
)

// Scenes are faults in combination, at set times. Each goes with the usual
// load and the usual operators.
var Scenes = map[string]func(w *World){
	"freeze-between-claim-and-send":     freezeAtClaim,
	"swap-in-a-change-storm":            swapInStorm,
	"core-restarts-while-a-cell-is-out": coreRestartsCellOut,
	"clock-jumps-in-the-retry-window":   clockJumps,
	"stalled-disks-under-the-planner":   stalledDisks,
	"one-way-cuts":                      oneWayCuts,
	"rolling-restart":                   rollingRestart,
	"herd-at-the-days-end":              herdAtEnd,
	"every-disk-lost":                   everyDiskLost,
	"first-core-gone-and-all-restart":   firstCoreGone,
	"region-lost":                       regionLost,
	"two-disks-stall-and-one-is-lost":   stallAndLose,
	"address-handed-on-while-cut-off":   handedWhileCut,
	"answers-lost-under-load":           responsesLost,
	"drained-one-by-one":                drained,
	"emptied-while-the-core-splits":     emptiedInSplit,
}

func (w *World) every(from, gap time.Duration, n int, f func(i int)) {
	for i := range n {
		w.later(from+time.Duration(i)*gap, func() { f(i) })
	}
}

func (w *World) named(name string) *proc {
	for _, p := range w.procs {
		if p.name == name {
			return p
		}
	}
	return nil
}

func freezeAtClaim(w *World) {
	n := 0
	w.atClaim = func(p *proc) {
		if n++; n%15 == 0 && w.now < w.quiet() {
			// Long enough for others to count it as gone, or only to be late.
			p.later(time.Duration(n%4)*time.Millisecond, func() { p.freeze(w.between(500*time.Millisecond, 4*time.Second)) })
		}
	}
}

func swapInStorm(w *World) {
	w.every(time.Second, 50*time.Millisecond, 300, func(i int) { w.put(600+i, i%blueprint.Pairs) })
	w.every(4*time.Second, 12*time.Second, 3, func(int) { w.swapCore() })
}

func coreRestartsCellOut(w *World) {
	w.later(5*time.Second, func() { w.loseCell(w.Plan.Cell(0), 8*time.Second) })
	w.later(6*time.Second, func() {
		for _, p := range w.procs {
			if p.role != membership.Proxy && p.up && !p.lost {
				w.bounce(p, w.between(time.Second, 3*time.Second))
			}
		}
	})
}

func clockJumps(w *World) {
	w.every(2*time.Second, 3*time.Second, 10, func(i int) {
		p := w.some(membership.Proxy)
		p.wall = time.Duration(i%2*2-1) * 20 * time.Minute
		w.bounce(p, 200*time.Millisecond)
	})
}

func stalledDisks(w *World) {
	w.every(4*time.Second, 12*time.Second, 3, func(i int) {
		for _, n := range []int{i % 3, (i + 1) % 3} {
			d := w.procs[n].disk
			d.stalled = true
			w.later(6*time.Second, func() { d.stalled = false })
		}
	})
}

func oneWayCuts(w *World) {
	w.every(2*time.Second, 3*time.Second, 12, func(i int) {
		p := w.procs[i%len(w.procs)]
		w.trace("%s is cut off one way", p.name)
		in := func(n string, _ ids.Name) bool { return n == p.name }
		out := func(n string, _ ids.Name) bool { return n != p.name }
		c := &cut{a: in, b: out, oneWay: true}
		if i%2 == 0 {
			c.a, c.b = out, in
		}
		w.cutOff(4*time.Second, c)
	})
}

func rollingRestart(w *World) {
	for i, p := range w.procs {
		w.later(2*time.Second+time.Duration(i)*3*time.Second, func() { w.bounce(p, 500*time.Millisecond) })
	}
}

func herdAtEnd(w *World) {
	w.later(time.Duration(w.quiet()-w.now)-time.Millisecond, func() {
		for _, p := range w.procs {
			p.kill()
		}
	})
}

// everyDiskLost wipes the whole core at once: on an operator's order it is founded
// anew, and takes the policy back from the proxies.
func everyDiskLost(w *World) {
	w.counted = true
	w.later(12*time.Second, func() {
		w.trace("every core disk is lost")
		for _, p := range w.procs[:3] {
			p.kill()
			p.disk.wipe()
			w.later(w.between(500*time.Millisecond, 3*time.Second), func() { p.boot() })
		}
		w.later(4*time.Second, func() { w.procs[0].take(store.RecoverRequest{ID: 1}) })
	})
}

// firstCoreGone replaces all three first core machines, one after the other,
// and then restarts everything: nobody's seeds lead anywhere any more.
func firstCoreGone(w *World) {
	w.every(2*time.Second, 11*time.Second, 3, func(i int) { w.swap(w.procs[i]) })
	w.later(36*time.Second, func() {
		for _, p := range w.procs {
			if !p.lost {
				w.bounce(p, w.between(100*time.Millisecond, time.Second))
			}
		}
	})
}

func regionLost(w *World) {
	w.every(3*time.Second, 12*time.Second, 3, func(i int) {
		r := w.Plan.Region(w.Plan.Cell(i))
		for n := range w.Plan.Cells {
			if c := w.Plan.Cell(n); w.Plan.Region(c) == r {
				w.loseCell(c, 6*time.Second)
			}
		}
	})
}

func stallAndLose(w *World) {
	w.later(4*time.Second, func() { w.procs[1].disk.stalled = true })
	w.later(6*time.Second, func() { w.swapCore() })
	w.later(12*time.Second, func() { w.procs[1].disk.stalled = false })
}

func handedWhileCut(w *World) {
	w.every(3*time.Second, 8*time.Second, 4, func(i int) {
		p := w.some(membership.Proxy)
		w.trace("%s is cut off from the core", p.name)
		w.cutOff(6*time.Second, &cut{a: func(n string, _ ids.Name) bool { return n == p.name },
			b: func(n string, _ ids.Name) bool {
				q := w.named(n)
				return q != nil && q.role != membership.Proxy
			}})
		w.later(500*time.Millisecond, func() { w.handOver(w.pool[i%len(w.pool)], 3*time.Second) })
	})
}

func responsesLost(w *World) {
	for _, t := range w.pool {
		t.mute, t.spoil = 0.2, 0.1
	}
}

func drained(w *World) {
	for i, t := range w.pool {
		w.later(2*time.Second+time.Duration(i)*4*time.Second, func() {
			t.leave()
			w.later(5*time.Second, func() { t.crash() })
			w.later(7*time.Second, func() { w.again(t) })
		})
	}
}

func emptiedInSplit(w *World) {
	w.every(3*time.Second, 16*time.Second, 3, func(int) {
		w.splitCore(11 * time.Second)
		w.later(time.Second, func() { w.emptyCell() })
	})
}
