package simulator

import (
	"fmt"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/state/consensus"
	"dunlinwell/internal/transport/wire"
)

// wipeStore kills a store, wipes its disk and restarts it after a delay.
func (w *World) wipeStore(p *process, down time.Duration) {
	w.trace("the disk of %s is lost", p.name)
	p.kill()
	p.disk.wipe()
	w.schedule(down, func() {
		if !p.up && !p.removed {
			p.start()
		}
	})
}

// voterSetComplete reports whether every store that has not been removed is up, is a member of the
// same voter set, and has a complete copy of the registers on its synced disk.
func (w *World) voterSetComplete() bool {
	var number uint64
	stores := 0
	for _, p := range w.processes {
		if p.role != membership.Store || p.removed {
			continue
		}
		stores++
		raw, _ := p.disk.Get(voterSetRecord)
		set, ok := consensus.DecodeVoterSet(raw)
		if !p.up || !ok || len(set.Incoming) > 0 || !set.HasVoter(p.disk.storeID) || len(set.Learners) > 0 {
			return false
		}
		if number == 0 {
			number = set.Number
		}
		if set.Number != number || len(set.Voters) < stores || !hasCompleteCopy(p.disk) {
			return false
		}
	}
	return stores > 0
}

// hasCompleteCopy reports whether a disk holds a complete copy of the registers.
func hasCompleteCopy(d *disk) bool {
	state, known := consensus.ReadDiskState(d)
	return known && state == consensus.Complete
}

// awaitVoterSetComplete calls then with the time until voterSetComplete, or with -1 if that exceeds
// the bound.
func (w *World) awaitVoterSetComplete(bound time.Duration, then func(time.Duration)) {
	w.await(w.voterSetComplete, bound, then)
}

// wipeInSequence wipes the disks of stores one after the other, each a gap after the previous store
// restarted, and calls then with the duration of each repair, or with -1 if that exceeds the gap.
func (w *World) wipeInSequence(order []int, gap time.Duration, then func(time.Duration)) {
	const down = 200 * time.Millisecond
	at := time.Duration(0)
	for _, n := range order {
		w.schedule(at, func() {
			w.wipeStore(w.processes[n], down)
			w.schedule(down, func() { w.awaitVoterSetComplete(gap, then) })
		})
		at += down + gap
	}
}

// replaceThenWipe loses the machine of one store permanently, starts a blank one soon after, and
// wipes the disk of a second store once the blank machine has run for the given time.
func (w *World) replaceThenWipe(lost, wiped *process, successorUptime time.Duration) {
	const successorDelay, down = 100 * millisecond, 500 * millisecond
	w.trace("the machine of %s is lost permanently", lost.name)
	machine := w.machineOf(lost)
	for _, p := range machine {
		w.remove(p)
	}
	w.schedule(successorDelay, func() { w.addReplacements(machine) })
	w.schedule(successorDelay+successorUptime, func() { w.wipeStore(wiped, down) })
}

// restartBlank executes store.Retire as the daemon does: it moves the data directory aside and
// restarts with an empty one.
func (p *process) restartBlank() {
	p.world.trace("%s moves its data directory aside", p.name)
	p.kill()
	p.disk.wipe()
	p.start()
}

// restoreOldDisk restarts a store with an older copy of its disk.
func (p *process) restoreOldDisk(records map[ids.RegisterKey][]byte, id, run uint64) {
	p.world.trace("an old disk of %s is restored", p.name)
	p.kill()
	p.disk.wipe()
	p.disk.records, p.disk.storeID, p.disk.runNumber = records, id, run
	p.start()
}

// fillStores writes the same accepted values to every store's disk, to simulate a large state.
func (w *World) fillStores(registers, size int) {
	for i := range registers {
		raw, err := wire.Encode(consensus.RegisterState{Promised: ids.Ballot{Counter: 1}, Accepted: ids.Ballot{Counter: 1}, Value: make([]byte, size)})
		if err != nil {
			return
		}
		for _, p := range w.processes {
			if p.role == membership.Store && !p.removed {
				p.disk.records[ids.RegisterKey(fmt.Sprintf("item/fill/%06d", i))] = raw
			}
		}
	}
}
