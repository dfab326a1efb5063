package consensus

import (
	"testing"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
)

// A store that was cut off, but not yet counted as gone, was the first to be asked
// by each call, which lost 400 ms by it: registries' agreements grew too old to
// speak by, though the majority was there.
func TestClient_AsksSilentStoreLast(t *testing.T) {
	out := &event.Outbox{}
	c := NewClient(1, out)
	c.StoreOrder = func(ids.RegisterKey) []ids.Address { return []ids.Address{"cut", "a", "b"} }
	now := ids.Time(1)
	took := func() time.Duration {
		began, done := now, false
		c.Call(now, "k", Read, nil, 3*time.Second, func(_ ids.Time, s Outcome, _ []byte) { done = s == Succeeded })
		for !done && now.Sub(began) < 3*time.Second {
			for _, command := range out.Drain() {
				send := command.(event.Send)
				if request := send.Msg.(Request); send.To != "cut" {
					c.HandleResponse(now, send.To, Response{ID: request.ID, Attempt: request.Attempt, Outcome: Succeeded})
				}
			}
			if !done {
				now = now.Add(50 * time.Millisecond)
				c.Tick(now)
			}
		}
		return now.Sub(began)
	}
	if first := took(); first < attemptTimeout || first > attemptTimeout+100*time.Millisecond {
		t.Fatalf("the first call took %s", first)
	}
	slow := 0
	for range 60 { // half a second apart: half a minute
		now = now.Add(500 * time.Millisecond)
		if took() > 50*time.Millisecond {
			slow++
		}
	}
	if slow > 3 {
		t.Fatalf("%d of 60 calls waited for the silent store", slow)
	}
	if !c.HadSilentStore(now) {
		t.Fatal("nobody is told")
	}
}

// With only two stores known the second try goes to the other one.
func TestClient_NextAttemptGoesToAnotherStore(t *testing.T) {
	out := &event.Outbox{}
	c := NewClient(1, out)
	c.StoreOrder = func(ids.RegisterKey) []ids.Address { return []ids.Address{"cut", "a"} }
	c.Call(1, "k", Read, nil, 3*time.Second, func(ids.Time, Outcome, []byte) {})
	c.Tick(ids.Time(1).Add(attemptTimeout))
	var asked []ids.Address
	for _, command := range out.Drain() {
		asked = append(asked, command.(event.Send).To)
	}
	if len(asked) != 2 || asked[0] != "cut" || asked[1] != "a" {
		t.Fatalf("asked %v", asked)
	}
}
