package simulator

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
)

// One of three stores is lost permanently. While its replacement catches up, another store is down
// long enough to count as lost and returns as it is being replaced. The core stays available.
func TestStore_ReturnsDuringItsReplacement(t *testing.T) {
	is := is.New(t)
	for seed := uint64(1); seed <= 6; seed++ {
		// The store that stops first has been silent for longest.
		for _, downAt := range []time.Duration{1800 * millisecond, 2200 * millisecond} {
			o := Run(Options{Seed: seed, Length: 40 * time.Second, Script: func(w *World) {
				w.allNumberAttempts = true
				w.schedule(2*time.Second, func() { w.replaceAfterLoss(w.processes[2]) })
				w.schedule(downAt, func() { w.restartProcess(w.processes[1], time.Duration(4+seed)*time.Second) })
			}})
			report(t, o)
			is.True(o.Changes > 30)
		}
	}
}

// An old copy of a lost disk is restored: the store must not take part with it, but retire it and
// rejoin with a new ID.
func TestStore_RestoredOldDiskRejoinsBlank(t *testing.T) {
	is := is.New(t)
	for seed := uint64(1); seed <= 3; seed++ {
		took := time.Duration(-1)
		o := Run(Options{Seed: seed, Length: 40 * time.Second, Script: func(w *World) {
			w.allNumberAttempts = true
			p := w.processes[0]
			var old map[ids.RegisterKey][]byte
			var id, run uint64
			w.schedule(2*time.Second, func() {
				old, id, run = maps.Clone(p.disk.records), p.disk.storeID, p.disk.runNumber
				w.wipeStore(p, 200*millisecond)
			})
			w.schedule(8*time.Second, func() { p.restoreOldDisk(old, id, run) })
			w.schedule(8100*millisecond, func() { w.awaitVoterSetComplete(4*time.Second, func(d time.Duration) { took = d }) })
			w.schedule(14*time.Second, func() { is.True(p.disk.storeID != id) })
		}})
		report(t, o)
		is.True(took >= 0)
		is.True(o.Changes > 30)
	}
}

// Two of five disks are lost at once, repeatedly; each time the voter set is complete again within
// 1.5 s.
func TestStoreRepair_TwoOfFiveDisksLostAtOnce(t *testing.T) {
	is := is.New(t)
	for seed := uint64(1); seed <= 4; seed++ {
		var took []time.Duration
		o := Run(Options{Seed: seed, Length: 40 * time.Second, Replicas: 5, Script: func(w *World) {
			w.allNumberAttempts = true
			w.repeat(4*time.Second, 6*time.Second, 4, func(i int) {
				var stores []*process
				for _, p := range w.processes {
					if p.role == membership.Store {
						stores = append(stores, p)
					}
				}
				w.wipeStore(stores[i%5], 200*millisecond)
				w.wipeStore(stores[(i+2)%5], 200*millisecond)
				w.schedule(200*millisecond, func() { w.awaitVoterSetComplete(4*time.Second, func(d time.Duration) { took = append(took, d) }) })
			})
		}})
		report(t, o)
		slices.Sort(took)
		is.Equal(len(took), 4)
		t.Logf("seed %d: %v", seed, took)
		is.True(took[0] >= 0)
		is.True(took[3] <= 1500*millisecond)
		is.True(o.Changes > 30)
	}
}
