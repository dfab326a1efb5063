package proxy

import (
	"net/http"
	"testing"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/targets"
	"dunlinwell/internal/dataplane/dispatch"
	"dunlinwell/internal/transport/process"
)

// A proxy that wakes past a request's deadline, past its lease, or without having
// stepped since, sends nothing, on a new connection or on one that was idle.
func TestAFrozenProxySendsNothing(t *testing.T) {
	now := process.Now().Add(time.Hour)
	for name, c := range map[string]struct{ due, by, beat ids.Time }{
		"past its deadline": {process.Now(), now, now},
		"past its lease":    {now, process.Now(), now},
		"not yet stepped":   {now, now, process.Now().Add(-2 * frozen)},
	} {
		for _, reused := range []bool{false, true} {
			f, d := newFaulty(t, closes), plainCarrier(0)
			if reused {
				if b := d.carryTo(f, "first"); b.How != dispatch.Sealed {
					t.Fatal(b.Why)
				}
			}
			d.beat.Store(int64(min(c.beat, process.Now())))
			b := d.carry(&ClientRequest{ID: "late", Method: "POST", URI: "/x", Header: http.Header{"Id": {"late"}}},
				dispatch.Ferry{ID: 1, Turn: 1, Due: c.due, By: c.by, Target: targets.Target{Instance: "t", Service: "s", Address: ids.Address(f.Addr().String())}})
			if b.How != dispatch.NotSent || f.runs("late") != 0 {
				t.Errorf("%s, reused %t: %v (%s), it ran %d times", name, reused, b.How, b.Why, f.runs("late"))
			}
		}
	}
}
