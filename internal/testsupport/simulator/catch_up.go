package simulator

import (
	"fmt"
	"maps"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/configuration"
	"dunlinwell/internal/state/consensus"
)

// MachineOutages are the ways in which a store misses changes. Each function begins an outage and
// returns what ends it.
var MachineOutages = map[string]func(w *World, p *process) (back func()){
	"killed": func(w *World, p *process) func() {
		p.kill()
		return p.start
	},
	"frozen": func(w *World, p *process) func() {
		p.freeze(time.Hour)
		return p.unfreeze
	},
	"cut off": func(w *World, p *process) func() {
		isolated := processSide(p)
		c := &partition{sideA: isolated, sideB: isolated.outside()}
		w.addPartition(time.Hour, c)
		return func() { w.removePartition(c) }
	},
	// restored: an old copy of the disk replaces the newest one.
	"restored": func(w *World, p *process) func() {
		old, run := maps.Clone(p.disk.records), p.disk.runNumber
		return func() {
			p.kill()
			p.disk.records, p.disk.runNumber = old, run
			p.start()
		}
	},
}

// missChanges makes changes one after the other during an outage of a store, with reads all along,
// and calls then with the time from its return until its synced disk has the newest; negative if
// that took longer than the bound.
func (w *World) missChanges(p *process, absence string, changes int, bound time.Duration, then func(time.Duration)) {
	back := MachineOutages[absence](w, p)
	w.readRepeatedly()
	var next func(n int)
	next = func(n int) {
		if n == changes {
			w.trace("%s is back", p.name)
			back()
			w.awaitCaughtUp(p, bound, then)
			return
		}
		w.operators.serial++
		w.sendChange(w.changes().Put(fmt.Sprint("missed-", w.operators.serial), w.operators.serial, n%3), func(configuration.Result) { next(n + 1) })
	}
	next(0)
}

// readRepeatedly reads the configuration every 200 ms until the operators are stopped.
func (w *World) readRepeatedly() {
	if w.operators.stopped {
		return
	}
	w.readConfiguration()
	w.schedule(200*millisecond, w.readRepeatedly)
}

// awaitCaughtUp calls then with the time until the synced disk of a store has the newest revision;
// negative if that took longer than the bound.
func (w *World) awaitCaughtUp(p *process, bound time.Duration, then func(time.Duration)) {
	goal := ids.Revision(w.Checker.KnownRevision())
	w.await(func() bool { return p.disk.revision() >= goal }, bound, then)
}

// revision is the configuration's revision on the synced disk.
func (d *disk) revision() ids.Revision {
	_, raw := consensus.NewAcceptor(d.storeID, d, &event.Outbox{}).AcceptedValue(configuration.Key)
	held, err := configuration.Decode(raw)
	if err != nil {
		return 0
	}
	return held.Revision
}
