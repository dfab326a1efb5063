package simulator

import (
	"fmt"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
)

// machineOf returns the processes on the machine of a core process.
func (w *World) machineOf(p *process) []*process {
	var out []*process
	for _, other := range w.coreProcesses() {
		if other.zone == p.zone {
			out = append(out, other)
		}
	}
	return out
}

// storeOf returns the store on the machine of a core process, or nil if it was removed.
func (w *World) storeOf(p *process) *process {
	for _, other := range w.machineOf(p) {
		if other.role == membership.Store {
			return other
		}
	}
	return nil
}

// replaceCore replaces a core machine with a blank one at a new address as soon as lossTolerated
// allows it. If planned, the new machine is added before the old one is removed.
func (w *World) replaceCore(planned bool) {
	w.whenLossTolerated(func() *process { return w.randomProcess(membership.Store) }, func(p *process) {
		if planned {
			w.replaceBeforeRemoval(p)
		} else {
			w.replaceAfterLoss(p)
		}
	})
}

// replaceCoreMachine loses a core machine permanently and adds a blank one as soon as lossTolerated
// allows it.
func (w *World) replaceCoreMachine() { w.replaceCore(false) }

// replaceAfterLoss removes a core machine and its disk, and adds a blank one soon after.
func (w *World) replaceAfterLoss(p *process) {
	w.trace("the machine of %s is lost permanently", p.name)
	machine := w.machineOf(p)
	for _, member := range machine {
		w.remove(member)
	}
	w.recordDiskLoss()
	w.losses.machinesBeingReplaced++
	w.schedule(w.randomDuration(100*millisecond, 2*time.Second), func() {
		w.losses.machinesBeingReplaced--
		w.addReplacements(machine)
	})
}

// replaceBeforeRemoval adds a blank core machine, and removes the old one soon after.
func (w *World) replaceBeforeRemoval(p *process) {
	w.trace("the machine of %s is being replaced", p.name)
	machine := w.machineOf(p)
	w.losses.machinesBeingReplaced++
	w.addReplacements(machine)
	w.schedule(w.randomDuration(time.Second, 3*time.Second), func() {
		w.losses.machinesBeingReplaced--
		for _, member := range machine {
			w.remove(member)
		}
		w.recordDiskLoss()
	})
}

// remove kills a process permanently.
func (w *World) remove(p *process) {
	p.kill()
	p.removed = true
	delete(w.processByAddress, p.address)
}

// addReplacements adds a blank process for each process of a machine.
func (w *World) addReplacements(machine []*process) {
	for _, p := range machine {
		subnet := 2
		if p.role == membership.Store {
			subnet = 1
		}
		w.addCoreProcess(p.role, subnet, p.zone)
	}
}

// addStore adds a blank store.
func (w *World) addStore(zone ids.Name) { w.addCoreProcess(membership.Store, 1, zone) }

// addCoreProcess adds a blank core process at a new address, with existing core processes as its
// seeds.
func (w *World) addCoreProcess(role membership.Role, subnet int, zone ids.Name) {
	count := 0
	for _, added := range w.processes {
		if added.role == role {
			count++
		}
	}
	added := w.addProcess(role, fmt.Sprintf("%s-%d", role, count+1), zone, ids.Address(fmt.Sprintf("10.9.%d.%d:1", subnet, count+1)))
	added.seeds = nil
	for _, p := range w.processes {
		if p != added && !p.removed && p.role != membership.Proxy && len(added.seeds) < maxSeeds {
			added.seeds = append(added.seeds, p.address)
		}
	}
	if w.Defect.UnreachableSeeds {
		added.seeds = unreachableSeeds()
	}
	added.start()
}

// unreachableSeeds returns seed addresses without a process.
func unreachableSeeds() []ids.Address { return []ids.Address{"10.9.8.1:1"} }

// loseRandomDisk loses a random store's disk as soon as lossTolerated allows it.
func (w *World) loseRandomDisk() {
	w.whenLossTolerated(func() *process { return w.randomProcess(membership.Store) }, func(p *process) { w.loseDiskAndPower(p, w.faultDuration()) })
}

// loseDiskAndPower loses the disk of a core machine and restarts it, blank, at the same address.
func (w *World) loseDiskAndPower(store *process, d time.Duration) {
	w.trace("the disk of %s is lost", store.name)
	for _, p := range w.machineOf(store) {
		w.restartProcess(p, d)
	}
	w.loseDisk(store)
}

// loseDisk loses the disk of a store.
func (w *World) loseDisk(store *process) {
	w.recordDiskLoss()
	if w.Defect.KeepStoreIDOnDiskLoss {
		clear(store.disk.records)
		return
	}
	store.disk.wipe()
}

// maxSeeds is the maximum number of seeds in the settings of a process.
const maxSeeds = 3

// changeSeeds changes the seeds in the settings of all processes, which take effect at their next
// start. The given processes come first.
func (w *World) changeSeeds(first []*process) {
	var list []ids.Address
	for _, p := range first {
		list = append(list, p.address)
	}
	core := w.coreProcesses()
	for _, i := range w.random.Perm(len(core)) {
		if len(list) < maxSeeds {
			list = append(list, core[i].address)
		}
	}
	if w.Defect.UnreachableSeeds {
		list = unreachableSeeds()
	}
	w.trace("new seeds: %v", list)
	for _, p := range w.remainingProcesses(0) {
		p.seeds = list
	}
}
