package consensus

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
)

// newTestClient returns a client that tries the stores in the given order.
func newTestClient(stores ...ids.Address) (*Client, *event.Outbox) {
	out := &event.Outbox{}
	c := NewClient(1, out)
	c.StoreOrder = func(ids.RegisterKey) []ids.Address { return stores }
	return c, out
}

// A call ends as Rejected only if all its attempts were rejected. A store with a stalled disk
// may reject the second attempt and still execute the first.
func TestClient_RejectionResolvesOnlyItsAttempt(t *testing.T) {
	for name, c := range map[string]struct {
		rejected []uint32
		want     Outcome
	}{
		"second attempt": {[]uint32{2}, Indeterminate},
		"both attempts":  {[]uint32{1, 2}, Rejected},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			client, out := newTestClient("10.0.0.1:1")
			outcome := Outcome(0)
			client.Call(1, "policy", 1, nil, 700*time.Millisecond, func(_ ids.Time, o Outcome, _ []byte) { outcome = o })
			first := out.Drain()[0].(event.Send).Message.(Request)
			client.Tick(ids.Time(500 * time.Millisecond))
			second := out.Drain()[0].(event.Send).Message.(Request)
			is.Equal(first.ID, second.ID)
			is.Equal(second.Attempt, uint32(2))
			for _, attempt := range c.rejected {
				client.HandleResponse(ids.Time(510*time.Millisecond), "10.0.0.1:1", Response{ID: first.ID, Outcome: Rejected, Attempt: attempt})
			}
			client.Tick(ids.Time(800 * time.Millisecond))
			is.Equal(outcome, c.want)
		})
	}
}

// The client waits for the transfer of a large request before it tries another store, whose
// proposer would contend with the first.
func TestClient_LargeRequestIsNotSentToEveryStore(t *testing.T) {
	for name, c := range map[string]struct{ size, maxSent int }{
		"small": {10, 10},
		"large": {largeSize, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			client, out := newTestClient("a", "b", "c")
			client.Call(1, "x", opAppend, make([]byte, c.size), 10*time.Second, func(ids.Time, Outcome, []byte) {})
			sent := 0
			for now := ids.Time(1); now < ids.Time(3*time.Second); now = now.Add(50 * time.Millisecond) {
				client.Tick(now)
				for _, command := range out.Drain() {
					if _, ok := command.(event.Send); ok {
						sent++
					}
				}
			}
			is.True(sent >= 1)
			is.True(sent <= c.maxSent)
		})
	}
}
