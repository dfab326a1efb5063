package simulator

import (
	"time"

	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/store"
	"dunlinwell/internal/testsupport/blueprint"
)

// Scenes are scripted combinations of faults, by name. Each runs with the usual load and operators.
var Scenes = map[string]func(w *World){
	"freeze-between-claim-and-send":       freezeAtClaim,
	"swap-in-a-change-storm":              coreReplacedDuringChangeStorm,
	"core-restarts-while-a-cell-is-out":   coreRestartDuringZoneOutage,
	"clock-jumps-in-the-retry-window":     clockJumps,
	"stalled-disks-under-the-planner":     stalledDisks,
	"one-way-cuts":                        oneWayPartitions,
	"rolling-restart":                     rollingRestart,
	"herd-at-the-days-end":                massRestartAtEnd,
	"every-disk-lost":                     everyDiskLost,
	"first-core-gone-and-all-restart":     initialCoreReplaced,
	"region-lost":                         regionLost,
	"two-disks-stall-and-one-is-lost":     stallAndLose,
	"address-handed-on-while-cut-off":     addressReusedDuringPartition,
	"answers-lost-under-load":             responsesLost,
	"drained-one-by-one":                  targetsDrained,
	"emptied-while-the-core-splits":       zoneDrainedDuringPartition,
	"gone-but-running":                    declaredDeadButRunning,
	"left-to-a-dying-registry":            departureThroughKilledRegistry,
	"policy-moves-while-the-core-splits":  configurationMovedDuringPartition,
	"targets-freeze-and-wake":             targetsFreeze,
	"whole-core-lost-and-changed":         proxiesPartitionedDuringChange,
	"core-machine-cut-off-twice":          coreMachinePartitioned,
	"core-machine-cut-off-and-restarted":  coreMachinePartitionedAndRestarted,
	"disks-lost-in-a-row":                 disksLostRepeatedly,
	"replaced-as-planned-then-power-lost": replacedThenPowerLost,
	"change-storm-then-restarts":          changeStormThenRestarts,
	"answers-lost-and-orders-resent":      operatorResponsesLost,
	"connections-reset-under-load":        connectionsReset,
	"power-lost-after-acknowledgements":   powerLostAfterAcks,
	"clients-leave":                       clientsDisconnect,
}

// freezeAtClaim freezes proxies between the claim of an idempotency key and the sending of the
// request.
func freezeAtClaim(w *World) {
	n := 0
	w.onClaim = func(p *process) {
		if n++; n%15 == 0 && w.now < w.faultsEnd() {
			// Some freezes are long enough for the proxy to be declared dead, others only delay it.
			p.scheduleInRun(time.Duration(n%4)*time.Millisecond, func() { p.freeze(w.randomDuration(500*time.Millisecond, 4*time.Second)) })
		}
	}
}

// coreReplacedDuringChangeStorm replaces core machines during a storm of changes.
func coreReplacedDuringChangeStorm(w *World) {
	w.repeat(time.Second, 50*time.Millisecond, 300, func(i int) { w.putPair(600+i, i%blueprint.RoutePairs) })
	w.repeat(4*time.Second, 12*time.Second, 3, func(int) { w.replaceCoreMachine() })
}

// coreRestartDuringZoneOutage restarts the core during the power outage of a zone.
func coreRestartDuringZoneOutage(w *World) {
	w.schedule(5*time.Second, func() { w.losePower(w.Plan.Zone(0), 8*time.Second) })
	w.schedule(6*time.Second, func() {
		for _, p := range w.processes {
			if p.role != membership.Proxy && p.up && !p.removed {
				w.restartProcess(p, w.randomDuration(time.Second, 3*time.Second))
			}
		}
	})
}

// clockJumps makes the wall clocks of proxies jump while clients retry.
func clockJumps(w *World) {
	w.repeat(2*time.Second, 3*time.Second, 10, func(i int) {
		p := w.randomProcess(membership.Proxy)
		p.clockOffset = time.Duration(i%2*2-1) * 20 * time.Minute
		w.restartProcess(p, 200*time.Millisecond)
	})
}

// stalledDisks stalls the disks of two stores at a time, a different pair each time.
func stalledDisks(w *World) {
	w.repeat(4*time.Second, 12*time.Second, 3, func(i int) {
		for _, n := range []int{i % 3, (i + 1) % 3} {
			d := w.processes[n].disk
			d.stalled = true
			w.schedule(6*time.Second, func() { d.stalled = false })
		}
	})
}

// rollingRestart restarts all processes one after the other.
func rollingRestart(w *World) {
	for i, p := range w.processes {
		w.schedule(2*time.Second+time.Duration(i)*3*time.Second, func() { w.restartProcess(p, 500*time.Millisecond) })
	}
}

// massRestartAtEnd kills all processes right before the faults end.
func massRestartAtEnd(w *World) {
	w.schedule(time.Duration(w.faultsEnd()-w.now)-time.Millisecond, func() {
		for _, p := range w.processes {
			p.kill()
		}
	})
}

// everyDiskLost loses the disks of the whole core at once. An operator then orders the recovery,
// which bootstraps the core again with the configuration that the proxies hold.
func everyDiskLost(w *World) {
	w.allNumberAttempts = true
	w.schedule(12*time.Second, func() {
		w.operators.changeRecordsLost = true
		w.trace("every core disk is lost")
		for _, p := range w.processes[:3] {
			p.kill()
			p.disk.wipe()
			w.schedule(w.randomDuration(500*time.Millisecond, 3*time.Second), func() { p.start() })
		}
		w.schedule(4*time.Second, func() { w.processes[0].deliver(store.RecoverRequest{ID: 1}) })
	})
}

// initialCoreReplaced replaces all three initial core machines one after the other, and then
// restarts all processes. None of the initial seeds exists by then.
func initialCoreReplaced(w *World) {
	w.repeat(2*time.Second, 11*time.Second, 3, func(i int) { w.replaceAfterLoss(w.processes[i]) })
	w.schedule(36*time.Second, func() {
		for _, p := range w.processes {
			if !p.removed {
				w.restartProcess(p, w.randomDuration(100*time.Millisecond, time.Second))
			}
		}
	})
}

// regionLost causes power outages of regions, one after the other.
func regionLost(w *World) {
	w.repeat(3*time.Second, 12*time.Second, 3, func(i int) {
		region := w.Plan.Region(w.Plan.Zone(i))
		for n := range w.Plan.Zones {
			if zone := w.Plan.Zone(n); w.Plan.Region(zone) == region {
				w.losePower(zone, 6*time.Second)
			}
		}
	})
}

// stallAndLose loses a core machine while the disk of another one is stalled.
func stallAndLose(w *World) {
	w.schedule(4*time.Second, func() { w.processes[1].disk.stalled = true })
	w.schedule(6*time.Second, func() { w.replaceAfterLoss(w.randomProcess(membership.Store)) })
	w.schedule(12*time.Second, func() { w.processes[1].disk.stalled = false })
}
