package simulator

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/controlplane/store"
)

// Two of three disks are lost permanently. On an operator's request the core recovers from the
// third disk and the proxies' state. Retries whose idempotency records may be lost must not run
// again.
func TestRecovery_TwoOfThreeDisksLost(t *testing.T) {
	is := is.New(t)
	for seed := uint64(1); seed <= 4; seed++ {
		rejectionBeforeLoss, rejection := "", ""
		o := Run(Options{Seed: seed, Length: 50 * time.Second, Script: func(w *World) {
			w.allNumberAttempts = true
			responsesLost(w) // so that clients retry
			w.schedule(15*time.Second, func() {
				for _, p := range w.processes[1:3] {
					p.kill()
					p.removed = true
					delete(w.processByAddress, p.address)
				}
			})
			requestRecovery := func(result *string) {
				for _, c := range w.processes[0].machine.Step(w.processes[0].now(), store.RecoverRequest{ID: 1}) {
					if r, ok := c.(store.RecoverResponse); ok {
						*result = r.Rejection
						continue
					}
					w.processes[0].execute([]any{c})
				}
			}
			w.schedule(10*time.Second, func() { requestRecovery(&rejectionBeforeLoss) })
			w.schedule(17*time.Second, func() { w.addStore("cell-b1"); w.addStore("cell-c1") })
			w.schedule(20*time.Second, func() { requestRecovery(&rejection) })
		}})
		report(t, o)
		is.Equal(rejectionBeforeLoss, "a majority of the roster is still there")
		is.Equal(rejection, "")
		is.True(o.Responses["answered"] > 1000)
		is.True(o.Changes > 30) // changes continued
	}
}
