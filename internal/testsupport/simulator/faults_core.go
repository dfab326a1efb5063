package simulator

import (
	"fmt"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
)

// coreFaults are those of core machines: losses for good, of disks, and right
// after an acknowledgement; and what operators do to them.
var coreFaults = []faultKind{
	{"core machine replaced", 1, func(w *World) { w.replaceCore(false) }},
	{"core machine replaced as planned", 1, func(w *World) { w.replaceCore(true) }},
	{"disk lost", 1, func(w *World) { w.wipeSome() }},
	{"disk lost after an acknowledgement", 2, func(w *World) { w.afterAck(w.wipeMachineOf) }},
	{"power lost after an acknowledgement", 1, func(w *World) { w.afterAck(w.killMachineOf) }},
	{"seeds turned over", 1, func(w *World) {
		w.turnSeeds(nil)
		w.bounce(w.some(0), w.restart())
	}},
	{"zone emptied", 1, func(w *World) { w.emptyZone() }},
}

// machine lists the processes of a core process's machine.
func (w *World) machine(p *process) []*process {
	var out []*process
	for _, q := range w.core() {
		if q.zone == p.zone {
			out = append(out, q)
		}
	}
	return out
}

// storeOf finds the store on a core process's machine.
func (w *World) storeOf(p *process) *process {
	for _, q := range w.machine(p) {
		if q.role == membership.Store {
			return q
		}
	}
	return nil
}

// replaceCore replaces a core machine by a blank one at a new address, once the
// losses before allow it: after it is gone, or, if planned, before.
func (w *World) replaceCore(planned bool) {
	w.whenTolerated(func() *process { return w.some(membership.Store) }, func(p *process) {
		if planned {
			w.replacePlanned(p)
		} else {
			w.swap(p)
		}
	})
}

// swapCore loses a core machine for good, once the losses before allow it.
func (w *World) swapCore() { w.replaceCore(false) }

// swap loses a core machine and its disk, and sets up a blank one.
func (w *World) swap(p *process) {
	w.trace("the machine of %s is lost for good", p.name)
	m := w.machine(p)
	for _, q := range m {
		w.remove(q)
	}
	w.lose()
	w.losses.vacant++
	w.later(w.between(100*millisecond, 2*time.Second), func() {
		w.losses.vacant--
		w.succeed(m)
	})
}

// replacePlanned sets up a blank machine, and then takes the old one away.
func (w *World) replacePlanned(p *process) {
	w.trace("the machine of %s is to be replaced", p.name)
	m := w.machine(p)
	w.losses.vacant++
	w.succeed(m)
	w.later(w.between(time.Second, 3*time.Second), func() {
		w.losses.vacant--
		for _, q := range m {
			w.remove(q)
		}
		w.lose()
	})
}

// remove takes a process away for good.
func (w *World) remove(p *process) {
	p.kill()
	p.lost = true
	delete(w.processByAddress, p.addr)
}

// succeed puts up a blank process for each of a machine's.
func (w *World) succeed(m []*process) {
	for _, p := range m {
		code := 2
		if p.role == membership.Store {
			code = 1
		}
		w.add(p.role, code, p.zone)
	}
}

func (w *World) addStore(zone ids.Name) { w.add(membership.Store, 1, zone) }

// add puts up a blank core daemon at a new address.
func (w *World) add(role membership.Role, code int, zone ids.Name) {
	n := 0
	for _, q := range w.procs {
		if q.role == role {
			n++
		}
	}
	q := w.addProc(role, fmt.Sprintf("%s-%d", role, n+1), zone, ids.Address(fmt.Sprintf("10.9.%d.%d:1", code, n+1)))
	// Whoever puts up a new machine gives it seeds that live.
	q.seeds = nil
	for _, p := range w.procs {
		if p != q && !p.lost && p.role != membership.Proxy && len(q.seeds) < maxSeeds {
			q.seeds = append(q.seeds, p.addr)
		}
	}
	if w.Defect.DeadSeeds {
		q.seeds = deadSeeds()
	}
	q.boot()
}

// deadSeeds lead nowhere.
func deadSeeds() []ids.Address { return []ids.Address{"10.9.8.1:1"} }

// wipeSome loses one disk, as soon as the losses before allow it.
func (w *World) wipeSome() {
	w.whenTolerated(func() *process { return w.some(membership.Store) }, func(p *process) { w.wipe(p, w.short()) })
}

// wipe takes a core machine's power and disk; it comes back blank at the same
// address.
func (w *World) wipe(store *process, d time.Duration) {
	w.trace("the disk of %s is lost", store.name)
	for _, p := range w.machine(store) {
		w.bounce(p, d)
	}
	w.loseDisk(store)
}

func (w *World) loseDisk(store *process) {
	w.lose()
	if w.Defect.BlankKeepsIdentity {
		clear(store.disk.records)
		return
	}
	store.disk.wipe()
}

const maxSeeds = 3

// turnSeeds changes the settings: whoever starts from now on is given other
// seeds, the processes named first among them.
func (w *World) turnSeeds(first []*process) {
	var list []ids.Address
	for _, p := range first {
		list = append(list, p.addr)
	}
	core := w.core()
	for _, i := range w.random.Perm(len(core)) {
		if len(list) < maxSeeds {
			list = append(list, core[i].addr)
		}
	}
	if w.Defect.DeadSeeds {
		list = deadSeeds()
	}
	w.trace("new seeds: %v", list)
	for _, p := range w.living(0) {
		p.seeds = list
	}
}
