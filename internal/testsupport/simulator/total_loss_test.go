package simulator

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/controlplane/store"
)

// Two disks are lost for good. On an operator's order the fleet goes on from the third, with what the
// proxies still have, and nothing is violated: a retry whose idempotency record may be among the lost
// ones isn't run again.
func TestRecovery_TwoOfThreeDisksLost(t *testing.T) {
	is := is.New(t)
	for seed := uint64(1); seed <= 4; seed++ {
		tooSoon, asked := "", ""
		o := Run(Options{Seed: seed, Length: 50 * time.Second, Script: func(w *World) {
			w.allNumberAttempts = true
			responsesLost(w) // so that there are later attempts
			w.schedule(15*time.Second, func() {
				for _, p := range w.processes[1:3] {
					p.kill()
					p.removed = true
					delete(w.processByAddress, p.address)
				}
			})
			order := func(into *string) {
				for _, c := range w.processes[0].machine.Step(w.processes[0].now(), store.RecoverRequest{ID: 1}) {
					if r, ok := c.(store.RecoverResponse); ok {
						*into = r.Rejection
						continue
					}
					w.processes[0].execute([]any{c})
				}
			}
			w.schedule(10*time.Second, func() { order(&tooSoon) })
			w.schedule(17*time.Second, func() { w.addStore("cell-b1"); w.addStore("cell-c1") })
			w.schedule(20*time.Second, func() { order(&asked) })
		}})
		report(t, o)
		is.Equal(tooSoon, "a majority of the roster is still there")
		is.Equal(asked, "")
		is.True(o.Responses["answered"] > 1000)
		is.True(o.Changes > 30) // the day went on
	}
}
