package simulator

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// maxCatchUpTime is the bound catch_up_s that the users set for small sites.
const maxCatchUpTime = 4 * time.Second

// A store that missed 300 changes has them all within the bound after its return, without a change
// made meanwhile, and no read was ever answered from its old state.
func TestCatchUp_StoreThatMissed300Changes(t *testing.T) {
	for absence := range MachineOutages {
		for store := range 2 {
			t.Run(fmt.Sprint(absence, store), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				for _, seed := range []uint64{1, 3} {
					took := time.Duration(-2)
					o := Run(Options{Seed: seed, Length: 50 * time.Second, FaultEvery: -1, Script: func(w *World) {
						w.schedule(2*time.Second, func() {
							w.missChanges(w.processes[store], absence, 300, maxCatchUpTime, func(d time.Duration) { took = d })
						})
					}})
					report(t, o)
					changes, reads := countOperations(o.History)
					t.Logf("seed %d: %d changes, %d readings, caught up after %s", seed, changes, reads, took)
					is.True(changes > 300 && reads > 100)
					is.True(took >= 0)
					is.NoErr(linearizable(o.History))
				}
			})
		}
	}
}
