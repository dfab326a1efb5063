package simulator

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/store"
	"dunlinwell/internal/state/consensus"
)

// leave gives a store the polite signal and does something once it has ended.
func (w *World) leave(p *process, then func()) {
	w.trace("%s is told to stop", p.name)
	p.take(store.Leave{Within: 5 * time.Second})
	began := w.now
	var look func()
	look = func() {
		if p.up && w.now.Sub(began) < 6*time.Second {
			w.later(20*time.Millisecond, look)
			return
		}
		p.kill()
		then()
	}
	look()
}

// allVotersServe tells whether all members of the newest voter set, three, are up and
// complete, whoever else stands by.
func (w *World) allVotersServe() bool {
	var newest consensus.VoterSet
	serving := map[uint64]bool{}
	for _, p := range w.procs {
		if p.role != membership.Store || p.lost {
			continue
		}
		serving[p.disk.store] = p.up && syncedComplete(p.disk)
		raw, _ := p.disk.Get("meta/roster")
		if set, ok := consensus.DecodeVoterSet(raw); ok && set.Number > newest.Number {
			newest = set
		}
	}
	for _, v := range newest.Voters {
		if !serving[v.ID] {
			return false
		}
	}
	return len(newest.Voters) == 3 && len(newest.Incoming)+len(newest.Learners) == 0
}

// retire ends a machine for good.
func (w *World) retire(p *process) {
	p.lost = true
	delete(w.processByAddress, p.addr)
}

// All three founders are replaced as planned, under load and operators' changes:
// the new machine first, then the signal, then the disk is gone.
func TestPlannedReplacements(t *testing.T) {
	is := is.New(t)
	for seed := uint64(1); seed <= 4; seed++ {
		settled := false
		o := Run(Options{Seed: seed, Length: 45 * time.Second, KeepLog: true, Script: func(w *World) {
			w.every(2*time.Second, 6*time.Second, 3, func(i int) {
				p := w.procs[i]
				w.addStore(p.zone)
				w.later(3*time.Second, func() { w.leave(p, func() { w.retire(p) }) })
			})
			w.later(25*time.Second, func() { settled = w.allVotersServe() })
		}})
		report(t, o)
		log := strings.Join(o.Log, "\n")
		is.True(settled)
		is.Equal(strings.Count(log, "departure_ended [needed_for ]"), 3) // none ended because its time was up
		is.Equal(strings.Count(log, "is told to stop"), 3)
	}
}

// The stores are restarted in turn while a blank one stands by. Each that comes back
// finds its place taken, and stands by in its turn.
func TestRollWithOneStandingBy(t *testing.T) {
	is := is.New(t)
	for seed := uint64(1); seed <= 4; seed++ {
		settled := false
		o := Run(Options{Seed: seed, Length: 45 * time.Second, KeepLog: true, Script: func(w *World) {
			w.addStore("cell-a1")
			stores := append([]*process{}, w.procs[:3]...)
			stores = append(stores, w.procs[len(w.procs)-1])
			w.every(3*time.Second, 5*time.Second, 4, func(i int) {
				w.leave(stores[i], func() { w.later(500*time.Millisecond, func() { stores[i].boot() }) })
			})
			w.later(26*time.Second, func() { settled = w.allVotersServe() })
		}})
		report(t, o)
		is.True(settled)
	}
}

// One is told to stop and killed, disk and all, at a random moment of its hand-over,
// while messages are lost; two leave at once in every other seed.
func TestLeaversKilledHalfWayUnderLoad(t *testing.T) {
	is := is.New(t)
	for seed := uint64(1); seed <= 8; seed++ {
		settled := false
		o := Run(Options{Seed: seed, Length: 45 * time.Second, KeepLog: true, Script: func(w *World) {
			w.network.loss = 0.02
			w.later(2*time.Second, func() { w.addStore("cell-b1"); w.addStore("cell-c1") })
			w.later(6*time.Second, func() {
				p := w.procs[1]
				w.leave(p, func() { w.retire(p) })
				w.later(w.between(0, 300*time.Millisecond), p.kill)
				if q := w.procs[2]; seed%2 == 0 {
					w.leave(q, func() { w.retire(q) })
				}
			})
			w.later(25*time.Second, func() { settled = w.allVotersServe() })
		}})
		report(t, o)
		is.True(settled)
	}
}
