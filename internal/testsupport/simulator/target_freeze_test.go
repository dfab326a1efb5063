package simulator

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/dataplane/dispatch"
	"dunlinwell/internal/testsupport/checker"
)

// A request that a frozen target executes late is judged by the configuration in force when its
// proxy sent it: sent before the move of the route it is no violation, sent 4 s after the move it
// is.
func TestFrozenTarget_ExecutionJudgedBySendTime(t *testing.T) {
	for name, c := range map[string]struct {
		sent       time.Duration
		violations int
	}{
		"sent before the move":    {10 * time.Second, 0},
		"sent 4 s after the move": {15 * time.Second, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := NewWorld(Options{Seed: 1})
			p := w.addProcess(membership.Proxy, "proxy-1", w.Plan.Zone(0), "10.9.3.1:1")
			p.up, p.random, p.dispatchers = true, w.random, newDispatchers(p, nil)
			target := &target{world: w, id: "ledger-3", service: "ledger", zone: w.Plan.Zone(0), address: "10.9.9.1:1", capacity: 8}
			target.start(false)
			for n, service := range []string{"ledger", "catalog"} {
				w.schedule(time.Duration(11*n)*time.Second, func() {
					id := w.Checker.ChangeSent([]byte(`{"id":"to-`+service+`","changes":[{"kind":"route","name":"flip","put":{"service":"`+service+`","repeatable":true}}]}`), w.wallTime())
					w.Checker.ChangeAccepted(id, uint64(n+1), w.wallTime())
				})
			}
			w.schedule(9*time.Second, func() { target.freeze(11 * time.Second) })
			deadline := ids.Time(60 * time.Second)
			request := &forwardedRequest{Job: dispatch.Job{ID: 1, Route: "flip", Service: "ledger", Repeatable: true, Deadline: deadline}, requestToken: "flip:t1", attempt: 1}
			w.schedule(c.sent, func() {
				p.dispatchers.sendToTarget("ledger", dispatch.Forward{ID: 1, Deadline: deadline}, request, target, time.Millisecond)
			})
			w.runUntil(ids.Time(19 * time.Second))
			is.Equal(w.Checker.CountByClass(time.Time{})["runs"], 0) // the request waits in the socket of the frozen target
			w.runUntil(ids.Time(21 * time.Second))
			is.Equal(w.Checker.CountByClass(time.Time{})["runs"], 1) // 9 s after the move
			var got checker.RuleResult
			for _, k := range w.Checker.Results() {
				if strings.HasPrefix(k.Rule, "request by a configuration") {
					got = k
				}
			}
			is.Equal(got.Judged, 1)
			is.Equal(got.Violations, c.violations)
		})
	}
}
