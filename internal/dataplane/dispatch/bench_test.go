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

// BenchmarkRequest takes requests through a dispatcher with twenty targets.
func BenchmarkRequest(b *testing.B) {
	for name, repeatable := range map[string]bool{"repeatable": true, "order": false} {
		b.Run(name, func(b *testing.B) {
			d := New(Options{Dice: rand.New(rand.NewPCG(1, 1)), Self: idempotency.Owner{Daemon: "c1", Start: 1}})
			s := Stock{Capacity: 16, InStep: true, Allowance: 2}
			for i := range 20 {
				s.Targets = append(s.Targets, Offer{Target: targets.Target{Instance: ids.Instance(rune('a' + i)), Warmth: 1, Age: 1e6, Capacity: 16}, Seats: 8, Seat: i % 8, Distance: float64(i % 3)})
			}
			now := ids.Time(1)
			d.Step(now, s)
			d.Step(now, event.Tick{})
			yours, _ := wire.Encode(idempotency.Result{Verdict: idempotency.Yours})
			b.ReportAllocs()
			for i := range b.N {
				id := ids.Request(i + 1)
				out := d.Step(now, Arrive{Job{ID: id, Route: "r", Service: "s", Tier: 5, Attempt: 1, Repeatable: repeatable, Mark: "m", Due: now.Add(time.Second)}})
				for len(out) > 0 {
					switch c := out[0].(type) {
					case Wish:
						out = d.Step(now, Told{ID: id, Turn: c.Turn, State: consensus.Done, Out: yours})
					case Ferry:
						out = d.Step(now, Back{ID: id, Turn: c.Turn, How: Sealed, Response: idempotency.Response{Status: 200}})
					default:
						out = nil
					}
				}
			}
		})
	}
}
