package simulator

import (
	"time"

	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/testsupport/blueprint"
)

const (
	// strikeWithin is how soon after an acknowledgement such a fault comes.
	strikeWithin = 4 * millisecond
	// strikeBlind is how soon it comes after a change was sent, if it doesn't
	// wait for the acknowledgement.
	strikeBlindFrom, strikeBlindTill = 5 * millisecond, 400 * millisecond
)

// afterAck brings a fault about right after the next acknowledgement of a
// change, for the process that gave it; or soon after the next one was sent.
func (w *World) afterAck(fault func(*process)) {
	if w.random.IntN(3) == 0 {
		w.atChange = func() {
			w.later(w.between(strikeBlindFrom, strikeBlindTill), func() { fault(w.some(membership.Registry)) })
		}
		return
	}
	w.atAck = func(p *process) { w.later(w.between(0, strikeWithin), func() { fault(p) }) }
}

// wipeMachineOf loses the disk of a registry's machine, or of another one.
func (w *World) wipeMachineOf(registry *process) {
	store := w.storeOf(registry)
	if store == nil || w.random.IntN(3) == 0 {
		store = w.some(membership.Store)
	}
	if w.now < w.quiet() && w.tolerates(store) {
		w.wipe(store, w.short())
	}
}

// killMachineOf takes the power of a registry's machine.
func (w *World) killMachineOf(registry *process) {
	for _, p := range w.machine(registry) {
		w.bounce(p, w.short())
	}
}

// acknowledged hears of each change that a registry has just confirmed.
func (w *World) acknowledged(p *process) {
	if f := w.atAck; f != nil {
		w.atAck = nil
		f(p)
	}
}

// changeSent hears of each change that is sent for the first time.
func (w *World) changeSent() {
	if f := w.atChange; f != nil {
		w.atChange = nil
		f()
	}
}

// closingWait bounds how long the closing fault waits for an acknowledgement.
const closingWait = 6 * time.Second

// closing ends the day: one more change, and right after its acknowledgement,
// or soon after it was sent, everything is killed, or one disk is lost, at times
// while everything else loses power.
func (w *World) closing() {
	struck := false
	once := func(p *process) {
		if !struck {
			struck = true
			w.closingFault(p)
		}
	}
	w.afterAck(once)
	w.operators.n++
	w.put(w.operators.n, w.random.IntN(blueprint.RoutePairs))
	w.later(closingWait, func() { once(w.some(membership.Registry)) })
}

func (w *World) closingFault(p *process) {
	wiped := w.storeOf(p)
	if wiped == nil {
		wiped = w.some(membership.Store)
	}
	switch w.random.IntN(4) {
	case 0:
		w.trace("closing: the disk of %s is lost", wiped.name)
		w.wipe(wiped, w.restart())
	case 1:
		w.trace("closing: the disk of %s is lost, everything loses power", wiped.name)
		w.herd(w.living(0), w.restart)
		w.loseDisk(wiped)
	default:
		w.trace("closing: everything is killed, and starts from disk")
		w.herd(w.living(0), w.restart)
	}
}
