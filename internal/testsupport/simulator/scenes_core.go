package simulator

import (
	"time"

	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/testsupport/blueprint"
)

// coreMachinePartitioned partitions one core machine from the others, and a second one soon after
// that ends, while operators change the configuration.
func coreMachinePartitioned(w *World) {
	styles := []partitionStyle{{}, {oneWay: true}}
	w.repeat(2*time.Second, longPartition+2*time.Second, len(styles), func(i int) {
		w.partitionMachine(w.machineOf(w.processes[i]), longPartition, styles[i])
	})
	w.repeat(3*time.Second, 1100*millisecond, 40, func(i int) { w.flipRoute(7000 + i) })
	w.schedule(12*time.Second, func() { w.drainZone() })
}

// coreMachinePartitionedAndRestarted restarts a partitioned core machine, proxies whose seeds list
// it first, and then the other core machines.
func coreMachinePartitionedAndRestarted(w *World) {
	machine := w.machineOf(w.processes[0])
	w.schedule(2*time.Second, func() { w.partitionMachine(machine, longPartition, partitionStyle{reset: true, refuse: true}) })
	w.schedule(5*time.Second, func() {
		w.changeSeeds(machine)
		w.restartAll(machine, w.restartDuration)
	})
	w.repeat(6*time.Second, 3*time.Second, 3, func(i int) { w.restartProcess(w.remainingProcesses(membership.Proxy)[i], 300*millisecond) })
	w.schedule(14*time.Second, func() {
		for _, p := range w.coreProcesses() {
			if p.zone != machine[0].zone {
				w.restartProcess(p, w.restartDuration())
			}
		}
	})
	w.repeat(3*time.Second, 1100*millisecond, 40, func(i int) { w.flipRoute(8000 + i) })
}

// disksLostRepeatedly loses random disks, each as soon as lossTolerated allows it.
func disksLostRepeatedly(w *World) {
	w.repeat(2*time.Second, 5*time.Second, 8, func(int) { w.loseRandomDisk() })
	w.repeat(time.Second, 200*millisecond, 200, func(i int) { w.putPair(600+i, i%blueprint.RoutePairs) })
}

// replacedThenPowerLost replaces core machines as planned and restarts the whole core soon after
// each replacement.
func replacedThenPowerLost(w *World) {
	w.repeat(2*time.Second, 14*time.Second, 3, func(int) {
		w.replaceCore(true)
		w.schedule(w.randomDuration(2*time.Second, 5*time.Second), func() { w.restartAll(w.coreProcesses(), w.restartDuration) })
	})
}

// changeStormThenRestarts makes a store miss hundreds of changes, restarts it, and then restarts
// the other stores.
func changeStormThenRestarts(w *World) {
	w.repeat(time.Second, 60*millisecond, 400, func(i int) { w.putPair(600+i, i%blueprint.RoutePairs) })
	w.schedule(3*time.Second, func() { w.restartAll(w.machineOf(w.processes[0]), func() time.Duration { return 20 * time.Second }) })
	w.schedule(26*time.Second, func() { w.restartProcess(w.processes[1], 4*time.Second) })
	w.schedule(34*time.Second, func() { w.restartProcess(w.processes[2], 4*time.Second) })
	w.schedule(40*time.Second, func() { w.restartAll(w.coreProcesses(), w.restartDuration) })
}

// operatorResponsesLost loses 80 % of the responses to operators while pairs of them change the
// same route.
func operatorResponsesLost(w *World) {
	w.operatorResponseLoss = 0.8
	w.repeat(time.Second, 700*millisecond, 60, func(i int) { w.raceRoute(9000 + i) })
	w.repeat(5*time.Second, 9*time.Second, 4, func(int) { w.restartProcess(w.randomProcess(membership.Registry), w.restartDuration()) })
}

// connectionsReset repeatedly resets half of the proxies' connections, and less often most of the
// core's.
func connectionsReset(w *World) {
	w.repeat(time.Second, 700*millisecond, 60, func(i int) {
		for _, p := range w.remainingProcesses(membership.Proxy) {
			w.resetConnections(p.name, 0.5)
		}
		if i%5 == 0 {
			for _, p := range w.coreProcesses() {
				w.resetConnections(p.name, 0.7)
			}
		}
	})
}

// powerLostAfterAcks restarts one machine or all processes right after changes are acknowledged.
func powerLostAfterAcks(w *World) {
	w.repeat(2*time.Second, 4*time.Second, 11, func(i int) {
		if i%3 == 2 {
			w.afterAck(func(*process) { w.restartAll(w.remainingProcesses(0), w.restartDuration) })
			return
		}
		w.afterAck(w.powerCycleMachine)
	})
}
