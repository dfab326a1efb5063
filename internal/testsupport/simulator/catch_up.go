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

// StoreOutages are outages during which a store misses changes, by name. Each function begins the
// outage and returns a function that ends it.
var StoreOutages = map[string]func(w *World, p *process) (end func()){
	"killed": func(w *World, p *process) func() {
		p.kill()
		return p.start
	},
	"frozen": func(w *World, p *process) func() {
		p.freeze(time.Hour)
		return p.unfreeze
	},
	"partitioned": func(w *World, p *process) func() {
		isolated := processSide(p)
		cut := &partition{sideA: isolated, sideB: isolated.outside()}
		w.addPartition(time.Hour, cut)
		return func() { w.removePartition(cut) }
	},
	// The disk is replaced by an old copy of itself.
	"restored": func(w *World, p *process) func() {
		old, run := maps.Clone(p.disk.records), p.disk.runNumber
		return func() {
			p.kill()
			p.disk.records, p.disk.runNumber = old, run
			p.start()
		}
	},
}

// missChanges makes changes one after the other during an outage of a store, with concurrent reads.
// It calls then with the time from the end of the outage until the store's synced disk has the
// newest revision, or with -1 if that exceeds the bound.
func (w *World) missChanges(p *process, outage string, changes int, bound time.Duration, then func(time.Duration)) {
	endOutage := StoreOutages[outage](w, p)
	w.readRepeatedly()
	var next func(n int)
	next = func(n int) {
		if n == changes {
			w.trace("%s returns", p.name)
			endOutage()
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

// awaitCaughtUp calls then with the time until the synced disk of a store has the newest revision,
// or with -1 if that exceeds the bound.
func (w *World) awaitCaughtUp(p *process, bound time.Duration, then func(time.Duration)) {
	goal := ids.Revision(w.Checker.KnownRevision())
	w.await(func() bool { return p.disk.revision() >= goal }, bound, then)
}

// revision returns the revision of the configuration on the synced disk.
func (d *disk) revision() ids.Revision {
	_, raw := consensus.NewAcceptor(d.storeID, d, &event.Outbox{}).AcceptedValue(configuration.Key)
	document, err := configuration.Decode(raw)
	if err != nil {
		return 0
	}
	return document.Revision
}
