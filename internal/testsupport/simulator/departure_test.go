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

// stopStoreGracefully requests the departure of a store, as SIGTERM does, and calls then when it
// has stopped or after 6 s.
func (w *World) stopStoreGracefully(p *process, then func()) {
	w.trace("%s receives the stop signal", p.name)
	p.deliver(store.Leave{GracePeriod: 5 * time.Second})
	began := w.now
	var check func()
	check = func() {
		if p.up && w.now.Sub(began) < 6*time.Second {
			w.schedule(20*time.Millisecond, check)
			return
		}
		p.kill()
		then()
	}
	check()
}

// allVotersComplete reports whether the newest voter set has three voters, all up and with complete
// copies. Spares are ignored.
func (w *World) allVotersComplete() bool {
	var newest consensus.VoterSet
	serving := map[uint64]bool{}
	for _, p := range w.processes {
		if p.role != membership.Store || p.removed {
			continue
		}
		serving[p.disk.storeID] = p.up && hasCompleteCopy(p.disk)
		raw, _ := p.disk.Get(voterSetRecord)
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

// removeStopped removes a stopped process permanently.
func (w *World) removeStopped(p *process) {
	p.removed = true
	delete(w.processByAddress, p.address)
}

// All three initial stores are replaced under load: a new store is added, then the old one departs
// and is removed.
func TestDeparture_PlannedReplacementOfAllStores(t *testing.T) {
	is := is.New(t)
	for seed := uint64(1); seed <= 4; seed++ {
		settled := false
		o := Run(Options{Seed: seed, Length: 45 * time.Second, KeepLog: true, Script: func(w *World) {
			w.repeat(2*time.Second, 6*time.Second, 3, func(i int) {
				p := w.processes[i]
				w.addStore(p.zone)
				w.schedule(3*time.Second, func() { w.stopStoreGracefully(p, func() { w.removeStopped(p) }) })
			})
			w.schedule(25*time.Second, func() { settled = w.allVotersComplete() })
		}})
		report(t, o)
		log := strings.Join(o.Log, "\n")
		is.True(settled)
		is.Equal(strings.Count(log, "departure_ended [needed_for ]"), 3) // no departure timed out
		is.Equal(strings.Count(log, "receives the stop signal"), 3)
	}
}

// A rolling restart with one spare: each restarted store finds its place in the voter set taken and
// becomes the next spare.
func TestDeparture_RollingRestartWithSpare(t *testing.T) {
	is := is.New(t)
	for seed := uint64(1); seed <= 4; seed++ {
		settled := false
		o := Run(Options{Seed: seed, Length: 45 * time.Second, KeepLog: true, Script: func(w *World) {
			w.addStore("cell-a1")
			stores := append([]*process{}, w.processes[:3]...)
			stores = append(stores, w.processes[len(w.processes)-1])
			w.repeat(3*time.Second, 5*time.Second, 4, func(i int) {
				w.stopStoreGracefully(stores[i], func() { w.schedule(500*time.Millisecond, func() { stores[i].start() }) })
			})
			w.schedule(26*time.Second, func() { settled = w.allVotersComplete() })
		}})
		report(t, o)
		is.True(settled)
	}
}

// A departing store is killed and its disk lost at a random moment of the hand-over, while messages
// are lost. With even seeds two stores depart at once.
func TestDeparture_StoreKilledDuringHandOver(t *testing.T) {
	is := is.New(t)
	for seed := uint64(1); seed <= 8; seed++ {
		settled := false
		o := Run(Options{Seed: seed, Length: 45 * time.Second, KeepLog: true, Script: func(w *World) {
			w.network.loss = 0.02
			w.schedule(2*time.Second, func() { w.addStore("cell-b1"); w.addStore("cell-c1") })
			w.schedule(6*time.Second, func() {
				p := w.processes[1]
				w.stopStoreGracefully(p, func() { w.removeStopped(p) })
				w.schedule(w.randomDuration(0, 300*time.Millisecond), p.kill)
				if q := w.processes[2]; seed%2 == 0 {
					w.stopStoreGracefully(q, func() { w.removeStopped(q) })
				}
			})
			w.schedule(25*time.Second, func() { settled = w.allVotersComplete() })
		}})
		report(t, o)
		is.True(settled)
	}
}
