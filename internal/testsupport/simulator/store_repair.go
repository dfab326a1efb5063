package simulator

import (
	"fmt"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/state/consensus"
	"dunlinwell/internal/transport/wire"
)

// wipeStore kills a store, loses its disk and starts it again after a time.
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

// voterSetComplete reports whether every store that has not been removed is up, has the same voter set
// with itself in it, and may vote by its own synced disk.
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
	standing, known := consensus.ReadDiskState(d)
	return known && standing == consensus.Complete
}

// awaitVoterSetComplete calls then with the time until voterSetComplete, looking every 10 ms; negative if
// it took longer than the bound.
func (w *World) awaitVoterSetComplete(bound time.Duration, then func(time.Duration)) {
	w.await(w.voterSetComplete, bound, then)
}

// wipeInSequence loses the disks of stores one after the other, each a gap after the previous machine
// is back, and calls then with the time that each repair took.
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

// restartBlank does what the daemon does on the command store.Retire: set the data directory aside
// and start without one.
func (p *process) restartBlank() {
	p.world.trace("%s sets its folder aside", p.name)
	p.kill()
	p.disk.wipe()
	p.start()
}

// restoreOldDisk gives a store a disk as it was at an earlier time.
func (p *process) restoreOldDisk(records map[ids.RegisterKey][]byte, id, run uint64) {
	p.world.trace("an old disk of %s is put back", p.name)
	p.kill()
	p.disk.wipe()
	p.disk.records, p.disk.storeID, p.disk.runNumber = records, id, run
	p.start()
}

// fillStores puts the same accepted values on every store's disk, as a large state would.
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
