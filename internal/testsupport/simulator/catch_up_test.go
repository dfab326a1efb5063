package simulator

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// maxCatchUpTime is the required catch-up time (catch_up_s) at small sites.
const maxCatchUpTime = 4 * time.Second

// A store that missed 300 changes catches up within the bound after its return, without further
// changes, and no read returns its stale state.
func TestCatchUp_StoreThatMissed300Changes(t *testing.T) {
	for outage := range StoreOutages {
		for store := range 2 {
			t.Run(fmt.Sprint(outage, store), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				for _, seed := range []uint64{1, 3} {
					took := time.Duration(-2)
					o := Run(Options{Seed: seed, Length: 50 * time.Second, FaultEvery: -1, Script: func(w *World) {
						w.schedule(2*time.Second, func() {
							w.missChanges(w.processes[store], outage, 300, maxCatchUpTime, func(d time.Duration) { took = d })
						})
					}})
					report(t, o)
					changes, reads := countOperations(o.History)
					t.Logf("seed %d: %d changes, %d reads, caught up after %s", seed, changes, reads, took)
					is.True(changes > 300 && reads > 100)
					is.True(took >= 0)
					is.NoErr(linearizable(o.History))
				}
			})
		}
	}
}
