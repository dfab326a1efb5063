package simulator

import (
	"time"

	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/testsupport/blueprint"
)

// coreMachineCutOff cuts one core machine off from the others, and a second one
// as soon as that has healed, while operators change what proxies go by.
func coreMachineCutOff(w *World) {
	styles := []cutStyle{{}, {oneWay: true}}
	w.every(2*time.Second, longCut+2*time.Second, len(styles), func(i int) {
		w.cutOffMachine(w.machine(w.procs[i]), longCut, styles[i])
	})
	w.every(3*time.Second, 1100*millisecond, 40, func(i int) { w.flip(7000 + i) })
	w.later(12*time.Second, func() { w.emptyZone() })
}

// coreMachineCutOffAndRestarted restarts a machine that is cut off, and proxies
// whose seeds name it first; then the other core machines.
func coreMachineCutOffAndRestarted(w *World) {
	m := w.machine(w.procs[0])
	w.later(2*time.Second, func() { w.cutOffMachine(m, longCut, cutStyle{reset: true, refuse: true}) })
	w.later(5*time.Second, func() {
		w.turnSeeds(m)
		w.herd(m, w.restart)
	})
	w.every(6*time.Second, 3*time.Second, 3, func(i int) { w.bounce(w.living(membership.Proxy)[i], 300*millisecond) })
	w.later(14*time.Second, func() {
		for _, p := range w.core() {
			if p.zone != m[0].zone {
				w.bounce(p, w.restart())
			}
		}
	})
	w.every(3*time.Second, 1100*millisecond, 40, func(i int) { w.flip(8000 + i) })
}

// disksLostInARow loses a disk as soon as the loss before allows it.
func disksLostInARow(w *World) {
	w.every(2*time.Second, 5*time.Second, 8, func(int) { w.wipeSome() })
	w.every(time.Second, 200*millisecond, 200, func(i int) { w.put(600+i, i%blueprint.RoutePairs) })
}

// replacedThenPowerLost replaces core machines as planned, and takes the power
// of the whole core right after the old one is gone.
func replacedThenPowerLost(w *World) {
	w.every(2*time.Second, 14*time.Second, 3, func(int) {
		w.replaceCore(true)
		w.later(w.between(2*time.Second, 5*time.Second), func() { w.herd(w.core(), w.restart) })
	})
}

// stormThenRestarts lets a store miss hundreds of changes, has it come back, and
// takes the others away from it.
func stormThenRestarts(w *World) {
	w.every(time.Second, 60*millisecond, 400, func(i int) { w.put(600+i, i%blueprint.RoutePairs) })
	w.later(3*time.Second, func() { w.herd(w.machine(w.procs[0]), func() time.Duration { return 20 * time.Second }) })
	w.later(26*time.Second, func() { w.bounce(w.procs[1], 4*time.Second) })
	w.later(34*time.Second, func() { w.bounce(w.procs[2], 4*time.Second) })
	w.later(40*time.Second, func() { w.herd(w.core(), w.restart) })
}

// answersLostAndResent loses four answers to operators in five, while two of
// them race for one route.
func answersLostAndResent(w *World) {
	w.answerLoss = 0.8
	w.every(time.Second, 700*millisecond, 60, func(i int) { w.race(9000 + i) })
	w.every(5*time.Second, 9*time.Second, 4, func(int) { w.bounce(w.some(membership.Registry), w.restart()) })
}

// connectionsReset resets half of the proxies' connections again and again.
func connectionsReset(w *World) {
	w.every(time.Second, 700*millisecond, 60, func(i int) {
		for _, p := range w.living(membership.Proxy) {
			w.resetConnections(p.name, 0.5)
		}
		if i%5 == 0 {
			for _, p := range w.core() {
				w.resetConnections(p.name, 0.7)
			}
		}
	})
}

// powerLostAfterAcks takes the power right after acknowledgements, of one
// machine and of all.
func powerLostAfterAcks(w *World) {
	w.every(2*time.Second, 4*time.Second, 11, func(i int) {
		if i%3 == 2 {
			w.afterAck(func(*process) { w.herd(w.living(0), w.restart) })
			return
		}
		w.afterAck(w.killMachineOf)
	})
}
