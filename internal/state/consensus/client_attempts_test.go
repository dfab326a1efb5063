package consensus

import (
	"testing"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
)

// A store that was cut off, but not yet declared dead, was the first to be asked by each
// call, which lost 400 ms by it: the registries' last reads grew too old to act on, though
// a quorum was there.
func TestClient_AsksSilentStoreLast(t *testing.T) {
	client, out := newTestClient("cut", "a", "b")
	now := ids.Time(1)
	call := func() (responseTime time.Duration) {
		began, done := now, false
		client.Call(now, "k", Read, nil, 3*time.Second, func(_ ids.Time, o Outcome, _ []byte) { done = o == Succeeded })
		for !done && now.Sub(began) < 3*time.Second {
			for _, command := range out.Drain() {
				send := command.(event.Send)
				if request := send.Message.(Request); send.To != "cut" {
					client.HandleResponse(now, send.To, Response{ID: request.ID, Attempt: request.Attempt, Outcome: Succeeded})
				}
			}
			if !done {
				now = now.Add(50 * time.Millisecond)
				client.Tick(now)
			}
		}
		return now.Sub(began)
	}
	if first := call(); first < attemptTimeout || first > attemptTimeout+100*time.Millisecond {
		t.Fatalf("the first call took %s", first)
	}
	slow := 0
	for range 60 { // half a second apart: half a minute
		now = now.Add(500 * time.Millisecond)
		if call() > 50*time.Millisecond {
			slow++
		}
	}
	if slow > 3 {
		t.Fatalf("%d of 60 calls waited for the silent store", slow)
	}
	if !client.HadUnresponsiveStore(now) {
		t.Fatal("the silent store is not reported")
	}
}

// With only two stores known, the second attempt goes to the other one.
func TestClient_NextAttemptGoesToAnotherStore(t *testing.T) {
	client, out := newTestClient("cut", "a")
	client.Call(1, "k", Read, nil, 3*time.Second, func(ids.Time, Outcome, []byte) {})
	client.Tick(ids.Time(1).Add(attemptTimeout))
	var sentTo []ids.Address
	for _, command := range out.Drain() {
		sentTo = append(sentTo, command.(event.Send).To)
	}
	if len(sentTo) != 2 || sentTo[0] != "cut" || sentTo[1] != "a" {
		t.Fatalf("asked %v", sentTo)
	}
}
