package simulator

import (
	"time"

	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/testsupport/blueprint"
)

const (
	// maxDelayAfterAck is the maximum delay of a fault after an acknowledgement.
	maxDelayAfterAck = 4 * millisecond
	// minDelayAfterSend and maxDelayAfterSend bound the delay of a fault after a change was sent.
	minDelayAfterSend, maxDelayAfterSend = 5 * millisecond, 400 * millisecond
)

// afterAck injects a fault right after the next acknowledgement of a change, at the registry that
// acknowledged it, or with probability 1/3 soon after the next change is sent, at a random
// registry.
func (w *World) afterAck(fault func(*process)) {
	if w.random.IntN(3) == 0 {
		w.onNextChange = func() {
			w.schedule(w.randomDuration(minDelayAfterSend, maxDelayAfterSend), func() { fault(w.randomProcess(membership.Registry)) })
		}
		return
	}
	w.onNextAck = func(p *process) { w.schedule(w.randomDuration(0, maxDelayAfterAck), func() { fault(p) }) }
}

// loseDiskOfMachine loses the disk of a registry's machine, or with probability 1/3 of a random
// one, if that loss is tolerated.
func (w *World) loseDiskOfMachine(registry *process) {
	store := w.storeOf(registry)
	if store == nil || w.random.IntN(3) == 0 {
		store = w.randomProcess(membership.Store)
	}
	if w.now < w.faultsEnd() && w.lossTolerated(store) {
		w.loseDiskAndPower(store, w.faultDuration())
	}
}

// powerCycleMachine restarts all processes on a registry's machine, as after a loss of power.
func (w *World) powerCycleMachine(registry *process) {
	for _, p := range w.machineOf(registry) {
		w.restartProcess(p, w.faultDuration())
	}
}

// changeAcknowledged is called when a registry has acknowledged a change.
func (w *World) changeAcknowledged(p *process) {
	if f := w.onNextAck; f != nil {
		w.onNextAck = nil
		f(p)
	}
}

// changeSent is called when a change is sent for the first time.
func (w *World) changeSent() {
	if f := w.onNextChange; f != nil {
		w.onNextChange = nil
		f()
	}
}

// closingFaultTimeout is how long the closing fault waits for an acknowledgement at most.
const closingFaultTimeout = 6 * time.Second

// injectClosingFault injects the last fault of a run: right after one more change is acknowledged,
// or soon after it is sent, all processes are killed, or a disk is lost with or without a loss of
// power of all machines.
func (w *World) injectClosingFault() {
	injected := false
	once := func(p *process) {
		if !injected {
			injected = true
			w.injectClosingFaultAt(p)
		}
	}
	w.afterAck(once)
	w.operators.serial++
	w.putPair(w.operators.serial, w.random.IntN(blueprint.RoutePairs))
	w.schedule(closingFaultTimeout, func() { once(w.randomProcess(membership.Registry)) })
}

// injectClosingFaultAt draws the closing fault and injects it at a registry's machine.
func (w *World) injectClosingFaultAt(p *process) {
	wiped := w.storeOf(p)
	if wiped == nil {
		wiped = w.randomProcess(membership.Store)
	}
	switch w.random.IntN(4) {
	case 0:
		w.trace("closing fault: the disk of %s is lost", wiped.name)
		w.loseDiskAndPower(wiped, w.restartDuration())
	case 1:
		w.trace("closing fault: the disk of %s is lost, all processes lose power", wiped.name)
		w.restartAll(w.remainingProcesses(0), w.restartDuration)
		w.loseDisk(wiped)
	default:
		w.trace("closing fault: all processes are killed and restart")
		w.restartAll(w.remainingProcesses(0), w.restartDuration)
	}
}
