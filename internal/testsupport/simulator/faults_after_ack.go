package simulator

import (
	"time"

	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/testsupport/blueprint"
)

const (
	// maxDelayAfterAck is how soon after an acknowledgement a fault follows.
	maxDelayAfterAck = 4 * millisecond
	// minDelayAfterSend and maxDelayAfterSend bound how soon a fault follows the sending of a
	// change if it doesn't wait for the acknowledgement.
	minDelayAfterSend, maxDelayAfterSend = 5 * millisecond, 400 * millisecond
)

// afterAck injects a fault right after the next acknowledgement of a change, at the process that
// gave it; or, at times, soon after the next change was sent.
func (w *World) afterAck(fault func(*process)) {
	if w.random.IntN(3) == 0 {
		w.onNextChange = func() {
			w.schedule(w.randomDuration(minDelayAfterSend, maxDelayAfterSend), func() { fault(w.randomProcess(membership.Registry)) })
		}
		return
	}
	w.onNextAck = func(p *process) { w.schedule(w.randomDuration(0, maxDelayAfterAck), func() { fault(p) }) }
}

// loseDiskOfMachine loses the disk of a registry's machine, or at times of another one.
func (w *World) loseDiskOfMachine(registry *process) {
	store := w.storeOf(registry)
	if store == nil || w.random.IntN(3) == 0 {
		store = w.randomProcess(membership.Store)
	}
	if w.now < w.faultsEnd() && w.lossTolerated(store) {
		w.loseDiskAndPower(store, w.faultDuration())
	}
}

// powerCycleMachine takes the power of a registry's machine.
func (w *World) powerCycleMachine(registry *process) {
	for _, p := range w.machineOf(registry) {
		w.restartProcess(p, w.faultDuration())
	}
}

// changeAcknowledged runs when a registry has just confirmed a change.
func (w *World) changeAcknowledged(p *process) {
	if f := w.onNextAck; f != nil {
		w.onNextAck = nil
		f(p)
	}
}

// changeSent runs when a change is sent for the first time.
func (w *World) changeSent() {
	if f := w.onNextChange; f != nil {
		w.onNextChange = nil
		f()
	}
}

// closingFaultTimeout bounds how long the closing fault waits for an acknowledgement.
const closingFaultTimeout = 6 * time.Second

// injectClosingFault ends a run: right after the acknowledgement of one more change, or soon after
// it was sent, everything is killed, or one disk is lost, at times while everything else loses
// power.
func (w *World) injectClosingFault() {
	struck := false
	once := func(p *process) {
		if !struck {
			struck = true
			w.injectClosingFaultAt(p)
		}
	}
	w.afterAck(once)
	w.operators.serial++
	w.putPair(w.operators.serial, w.random.IntN(blueprint.RoutePairs))
	w.schedule(closingFaultTimeout, func() { once(w.randomProcess(membership.Registry)) })
}

// injectClosingFaultAt draws and injects the closing fault at a registry's machine.
func (w *World) injectClosingFaultAt(p *process) {
	wiped := w.storeOf(p)
	if wiped == nil {
		wiped = w.randomProcess(membership.Store)
	}
	switch w.random.IntN(4) {
	case 0:
		w.trace("closing: the disk of %s is lost", wiped.name)
		w.loseDiskAndPower(wiped, w.restartDuration())
	case 1:
		w.trace("closing: the disk of %s is lost, everything loses power", wiped.name)
		w.restartAll(w.remainingProcesses(0), w.restartDuration)
		w.loseDisk(wiped)
	default:
		w.trace("closing: everything is killed, and starts from disk")
		w.restartAll(w.remainingProcesses(0), w.restartDuration)
	}
}
