package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/targets"
	"dunlinwell/internal/state/consensus"
	"dunlinwell/internal/state/idempotency"
	"dunlinwell/internal/transport/wire"
)

// BenchmarkRequest measures a request's path through a dispatcher with twenty targets.
func BenchmarkRequest(b *testing.B) {
	for name, repeatable := range map[string]bool{"repeatable": true, "idempotency-key": false} {
		b.Run(name, func(b *testing.B) { benchmarkRequest(b, repeatable) })
	}
}

// benchmarkRequest runs requests of one kind from arrival to response.
func benchmarkRequest(b *testing.B, repeatable bool) {
	b.Helper()
	d := New(Options{Random: rand.New(rand.NewPCG(1, 1)), Self: idempotency.Owner{Daemon: "c1", RunID: 1}})
	state := ServiceState{
		DefaultCapacity: 16, IsCurrent: true, RetryBudget: 2, LeaseExpiresAt: 1 << 60,
		RouteRules: map[ids.Name]RouteRules{"r": {}},
	}
	for i := range 20 {
		state.Targets = append(state.Targets, Allocation{
			Target:         targets.Target{Instance: ids.InstanceID(rune('a' + i)), Warmth: 1, AgeMillis: 1e6, Capacity: 16},
			SlotShareCount: 8, SlotShareIndex: i % 8, Distance: float64(i % 3),
		})
	}
	now := ids.Time(1)
	d.Step(now, state)
	d.Step(now, event.Tick{})
	granted, err := wire.Encode(idempotency.Result{Verdict: idempotency.Granted})
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		id := ids.RequestID(i + 1)
		commands := d.Step(now, RequestArrived{Job{ID: id, Route: "r", Service: "s", Tier: 5, Attempt: 1, Repeatable: repeatable, IdempotencyKey: "m", Deadline: now.Add(time.Second)}})
		for len(commands) > 0 {
			switch c := commands[0].(type) {
			case IdempotencyCall:
				commands = d.Step(now, IdempotencyReply{ID: id, Sequence: c.Sequence, Outcome: consensus.Succeeded, Payload: granted})
			case Forward:
				commands = d.Step(now, AttemptFinished{ID: id, Sequence: c.Sequence, Result: Complete, Response: idempotency.Response{Status: 200}})
			default:
				commands = nil
			}
		}
	}
	if d.Counters.Answered != uint64(b.N) {
		b.Fatalf("answered %d of %d requests; failure reasons: %v", d.Counters.Answered, b.N, d.TakeFailureReasons())
	}
}
