package simulator

import (
	"time"

	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/store"
	"dunlinwell/internal/testsupport/blueprint"
)

// Scenes are faults in combination, at set times. Each goes with the usual
// load and the usual operators.
var Scenes = map[string]func(w *World){
	"freeze-between-claim-and-send":       freezeAtClaim,
	"swap-in-a-change-storm":              coreReplacedDuringChangeStorm,
	"core-restarts-while-a-cell-is-out":   coreRestartsZoneOut,
	"clock-jumps-in-the-retry-window":     clockJumps,
	"stalled-disks-under-the-planner":     stalledDisks,
	"one-way-cuts":                        oneWayCuts,
	"rolling-restart":                     rollingRestart,
	"herd-at-the-days-end":                massRestartAtEnd,
	"every-disk-lost":                     everyDiskLost,
	"first-core-gone-and-all-restart":     firstCoreMachineReplaced,
	"region-lost":                         regionLost,
	"two-disks-stall-and-one-is-lost":     stallAndLose,
	"address-handed-on-while-cut-off":     addressReusedDuringPartition,
	"answers-lost-under-load":             responsesLost,
	"drained-one-by-one":                  drained,
	"emptied-while-the-core-splits":       zoneDrainedDuringPartition,
	"gone-but-running":                    declaredDeadButRunning,
	"left-to-a-dying-registry":            departureThroughDyingRegistry,
	"policy-moves-while-the-core-splits":  configurationMovedDuringPartition,
	"targets-freeze-and-wake":             targetsFreeze,
	"whole-core-lost-and-changed":         coreLostAndChanged,
	"core-machine-cut-off-twice":          coreMachineCutOff,
	"core-machine-cut-off-and-restarted":  coreMachineCutOffAndRestarted,
	"disks-lost-in-a-row":                 disksLostInARow,
	"replaced-as-planned-then-power-lost": replacedThenPowerLost,
	"change-storm-then-restarts":          stormThenRestarts,
	"answers-lost-and-orders-resent":      answersLostAndResent,
	"connections-reset-under-load":        connectionsReset,
	"power-lost-after-acknowledgements":   powerLostAfterAcks,
}

func (w *World) every(from, gap time.Duration, n int, f func(i int)) {
	for i := range n {
		w.later(from+time.Duration(i)*gap, func() { f(i) })
	}
}

func freezeAtClaim(w *World) {
	n := 0
	w.atClaim = func(p *process) {
		if n++; n%15 == 0 && w.now < w.quiet() {
			// Long enough for others to count it as gone, or only to be late.
			p.later(time.Duration(n%4)*time.Millisecond, func() { p.freeze(w.between(500*time.Millisecond, 4*time.Second)) })
		}
	}
}

func coreReplacedDuringChangeStorm(w *World) {
	w.every(time.Second, 50*time.Millisecond, 300, func(i int) { w.put(600+i, i%blueprint.RoutePairs) })
	w.every(4*time.Second, 12*time.Second, 3, func(int) { w.swapCore() })
}

func coreRestartsZoneOut(w *World) {
	w.later(5*time.Second, func() { w.losePower(w.Plan.Zone(0), 8*time.Second) })
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

func rollingRestart(w *World) {
	for i, p := range w.procs {
		w.later(2*time.Second+time.Duration(i)*3*time.Second, func() { w.bounce(p, 500*time.Millisecond) })
	}
}

func massRestartAtEnd(w *World) {
	w.later(time.Duration(w.quiet()-w.now)-time.Millisecond, func() {
		for _, p := range w.procs {
			p.kill()
		}
	})
}

// everyDiskLost wipes the whole core at once: on an operator's order it is founded
// anew, and takes the configuration back from the proxies.
func everyDiskLost(w *World) {
	w.counted = true
	w.later(12*time.Second, func() {
		w.operators.recordLost = true
		w.trace("every core disk is lost")
		for _, p := range w.procs[:3] {
			p.kill()
			p.disk.wipe()
			w.later(w.between(500*time.Millisecond, 3*time.Second), func() { p.boot() })
		}
		w.later(4*time.Second, func() { w.procs[0].take(store.RecoverRequest{ID: 1}) })
	})
}

// firstCoreMachineReplaced replaces all three first core machines, one after the other,
// and then restarts everything: nobody's seeds lead anywhere any more.
func firstCoreMachineReplaced(w *World) {
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
		r := w.Plan.Region(w.Plan.Zone(i))
		for n := range w.Plan.Zones {
			if c := w.Plan.Zone(n); w.Plan.Region(c) == r {
				w.losePower(c, 6*time.Second)
			}
		}
	})
}

func stallAndLose(w *World) {
	w.later(4*time.Second, func() { w.procs[1].disk.stalled = true })
	w.later(6*time.Second, func() { w.swap(w.some(membership.Store)) })
	w.later(12*time.Second, func() { w.procs[1].disk.stalled = false })
}
