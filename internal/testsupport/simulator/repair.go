package simulator

import (
	"fmt"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/state/consensus"
	"dunlinwell/internal/transport/wire"
)

// wipeStore kills a store, loses its disk and starts it again after a while.
func (w *World) wipeStore(p *process, down time.Duration) {
	w.trace("the disk of %s is lost", p.name)
	p.kill()
	p.disk.wipe()
	w.later(down, func() {
		if !p.up && !p.lost {
			p.boot()
		}
	})
}

// wholeVoterSet tells whether every store that is not lost for good is up, in
// the voter set that all of them go by, and may vote by its own synced disk.
func (w *World) wholeVoterSet() bool {
	var number uint64
	stores := 0
	for _, p := range w.procs {
		if p.role != membership.Store || p.lost {
			continue
		}
		stores++
		raw, _ := p.disk.Get("meta/roster")
		set, ok := consensus.DecodeVoterSet(raw)
		if !p.up || !ok || len(set.Incoming) > 0 || !set.HasVoter(p.disk.store) || len(set.Learners) > 0 {
			return false
		}
		if number == 0 {
			number = set.Number
		}
		if set.Number != number || len(set.Voters) < stores || !syncedComplete(p.disk) {
			return false
		}
	}
	return stores > 0
}

func syncedComplete(d *disk) bool {
	standing, known := consensus.ReadDiskState(d)
	return known && standing == consensus.Complete
}

// untilWhole calls back with the time it took the voter set to be whole, looking
// every 10 ms; negative if it wasn't within the bound.
func (w *World) untilWhole(bound time.Duration, then func(time.Duration)) {
	began := w.now
	var look func()
	look = func() {
		switch took := w.now.Sub(began); {
		case w.wholeVoterSet():
			then(took)
		case took >= bound:
			then(-1)
		default:
			w.later(10*time.Millisecond, look)
		}
	}
	look()
}

// wipeInTurn loses the disks of one store after the other, each a while after
// the machine before is back, and calls back with the time that each repair took.
func (w *World) wipeInTurn(order []int, gap time.Duration, then func(time.Duration)) {
	const down = 200 * time.Millisecond
	at := time.Duration(0)
	for _, n := range order {
		w.later(at, func() {
			w.wipeStore(w.procs[n], down)
			w.later(down, func() { w.untilWhole(gap, then) })
		})
		at += down + gap
	}
}

// startBlank is what the daemon does on a store's command to retire its disk.
func (p *process) startBlank() {
	p.w.trace("%s sets its folder aside", p.name)
	p.kill()
	p.disk.wipe()
	p.boot()
}

// putBack gives a store a disk as it was at some earlier time.
func (p *process) putBack(records map[ids.RegisterKey][]byte, id, run uint64) {
	p.w.trace("an old disk of %s is put back", p.name)
	p.kill()
	p.disk.wipe()
	p.disk.records, p.disk.store, p.disk.run = records, id, run
	p.boot()
}

// onLink is how long a message waits for the links of two stores and passes them.
func (w *World) onLink(from, to *process, msg any) time.Duration {
	if w.LinkBits == 0 || from.role != membership.Store || to.role != membership.Store {
		return 0
	}
	raw, err := wire.Encode(msg)
	if err != nil {
		return 0
	}
	took := time.Duration(float64(len(raw)*8) / w.LinkBits * float64(time.Second))
	from.linkOut = max(from.linkOut, w.now).Add(took)
	to.linkIn = max(to.linkIn, from.linkOut.Add(-took)).Add(took)
	return to.linkIn.Sub(w.now)
}

// fillStores puts the same accepted values on every store's disk, as much state
// would have.
func (w *World) fillStores(registers, size int) {
	for i := range registers {
		raw, err := wire.Encode(consensus.RegisterState{Promised: ids.Ballot{Counter: 1}, Accepted: ids.Ballot{Counter: 1}, Value: make([]byte, size)})
		if err != nil {
			return
		}
		for _, p := range w.procs {
			if p.role == membership.Store && !p.lost {
				p.disk.records[ids.RegisterKey(fmt.Sprintf("item/fill/%06d", i))] = raw
			}
		}
	}
}
