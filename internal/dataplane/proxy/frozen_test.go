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
func TestForward_SendsNothingAfterFreeze(t *testing.T) {
	now := process.Now().Add(time.Hour)
	for name, c := range map[string]struct{ due, by, beat ids.Time }{
		"past its deadline": {process.Now(), now, now},
		"past its lease":    {now, process.Now(), now},
		"not yet stepped":   {now, now, process.Now().Add(-2 * freezeThreshold)},
	} {
		for _, reused := range []bool{false, true} {
			f, d := newFaultyTarget(t, closeConnection), newPlainDaemon(0)
			if reused {
				if b := d.forwardTo(f, "first"); b.Result != dispatch.Complete {
					t.Fatal(b.Reason)
				}
			}
			d.lastStep.Store(int64(min(c.beat, process.Now())))
			b := d.forward(&ClientRequest{AttemptID: "late", Method: "POST", URI: "/x", Header: http.Header{"Id": {"late"}}},
				dispatch.Forward{ID: 1, Sequence: 1, Deadline: c.due, SendBefore: c.by, Target: targets.Target{Instance: "t", Service: "s", Address: ids.Address(f.Addr().String())}})
			if b.Result != dispatch.NotSent || f.runs("late") != 0 {
				t.Errorf("%s, reused %t: %v (%s), it ran %d times", name, reused, b.Result, b.Reason, f.runs("late"))
			}
		}
	}
}
