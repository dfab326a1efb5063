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

// MachineOutages are the ways in which a store misses changes. Each gives how it returns.
var MachineOutages = map[string]func(w *World, p *process) (back func()){
	"killed": func(w *World, p *process) func() {
		p.kill()
		return p.boot
	},
	"frozen": func(w *World, p *process) func() {
		p.freeze(time.Hour)
		return p.wake
	},
	"cut off": func(w *World, p *process) func() {
		in := func(name string, _ ids.Name) bool { return name == p.name }
		c := &cut{a: in, b: func(name string, zone ids.Name) bool { return !in(name, zone) }}
		w.cutOff(time.Hour, c)
		return func() { w.mend(c) }
	},
	// An old copy of the disk is put back in place of the newest one.
	"restored": func(w *World, p *process) func() {
		old, run := maps.Clone(p.disk.records), p.disk.run
		return func() {
			p.kill()
			p.disk.records, p.disk.run = old, run
			p.boot()
		}
	},
}

// missChanges makes changes one after the other while a store is absent, with
// readings all along, and calls back with the time from its return until its own
// synced disk holds the newest; negative if that took longer than the bound.
func (w *World) missChanges(p *process, absence string, changes int, bound time.Duration, then func(time.Duration)) {
	back := MachineOutages[absence](w, p)
	w.readAllAlong()
	var next func(n int)
	next = func(n int) {
		if n == changes {
			w.trace("%s is back", p.name)
			back()
			w.untilCaughtUp(p, bound, then)
			return
		}
		w.operators.n++
		w.change(w.work().Put(fmt.Sprint("missed-", w.operators.n), w.operators.n, n%3), func(configuration.Result) { next(n + 1) })
	}
	next(0)
}

func (w *World) readAllAlong() {
	if w.operators.stop {
		return
	}
	w.read()
	w.later(200*millisecond, w.readAllAlong)
}

func (w *World) untilCaughtUp(p *process, bound time.Duration, then func(time.Duration)) {
	began, goal := w.now, ids.Revision(w.Checker.KnownRevision())
	var look func()
	look = func() {
		switch took := w.now.Sub(began); {
		case p.disk.revision() >= goal:
			then(took)
		case took >= bound:
			then(-1)
		default:
			w.later(10*millisecond, look)
		}
	}
	look()
}

// revision gives the configuration's revision on the synced disk.
func (d *disk) revision() ids.Revision {
	_, raw := consensus.NewAcceptor(d.store, d, &event.Outbox{}).AcceptedValue(configuration.Key)
	held, err := configuration.Decode(raw)
	if err != nil {
		return 0
	}
	return held.Revision
}
