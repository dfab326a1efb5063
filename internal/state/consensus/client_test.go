package consensus

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
)

// A store takes an ask, its disk stalls, and it rejects the second copy of
// that ask. It may still be busy with the first: the end is uncertain, which a
// caller must not be told as "surely not accepted".
func TestClient_RejectionSettlesOnlyItsOwnAttempt(t *testing.T) {
	is := is.New(t)
	for _, answers := range [][]uint32{{2}, {1, 2}} {
		out := &event.Outbox{}
		a := NewClient(1, out)
		a.StoreOrder = func(ids.RegisterKey) []ids.Address { return []ids.Address{"10.0.0.1:1"} }
		end := Outcome(0)
		a.Call(1, "policy", 1, nil, 700*time.Millisecond, func(_ ids.Time, s Outcome, _ []byte) { end = s })
		first := out.Drain()[0].(event.Send).Msg.(Request)
		a.Tick(ids.Time(500 * time.Millisecond))
		second := out.Drain()[0].(event.Send).Msg.(Request)
		is.Equal(first.ID, second.ID)
		is.Equal(second.Attempt, uint32(2))
		for _, try := range answers {
			a.HandleResponse(ids.Time(510*time.Millisecond), "10.0.0.1:1", Response{ID: first.ID, Outcome: Rejected, Attempt: try})
		}
		a.Tick(ids.Time(800 * time.Millisecond))
		is.Equal(end, map[int]Outcome{1: Indeterminate, 2: Rejected}[len(answers)])
	}
}
