package simulator

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/controlplane/store"
)

// Two disks are lost for good. On an operator's order the fleet goes on from
// the third, with what the proxies still hold, and no promise is broken: a
// later attempt whose mark may be among the lost ones isn't run again.
func TestTwoDisksLost(t *testing.T) {
	is := is.New(t)
	for seed := uint64(1); seed <= 4; seed++ {
		tooSoon, asked := "", ""
		o := Run(Options{Seed: seed, Length: 50 * time.Second, Script: func(w *World) {
			w.counted = true
			responsesLost(w) // so that there are later attempts
			w.later(15*time.Second, func() {
				for _, p := range w.procs[1:3] {
					p.kill()
					p.lost = true
					delete(w.processByAddress, p.addr)
				}
			})
			order := func(into *string) {
				for _, c := range w.procs[0].machine.Step(w.procs[0].now(), store.RecoverRequest{ID: 1}) {
					if r, ok := c.(store.RecoverResponse); ok {
						*into = r.Rejection
						continue
					}
					w.procs[0].perform([]any{c})
				}
			}
			w.later(10*time.Second, func() { order(&tooSoon) })
			w.later(17*time.Second, func() { w.addStore("cell-b1"); w.addStore("cell-c1") })
			w.later(20*time.Second, func() { order(&asked) })
		}})
		report(t, o)
		is.Equal(tooSoon, "a majority of the roster is still there")
		is.Equal(asked, "")
		is.True(o.Responses["answered"] > 1000)
		is.True(o.Changes > 30) // the day went on
	}
}
