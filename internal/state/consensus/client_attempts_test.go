package consensus

import (
	"testing"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
)

// Calls try an unresponsive store last. Otherwise, each call would lose an attemptTimeout to a
// store that is unreachable but not yet declared dead.
func TestClient_TriesUnresponsiveStoreLast(t *testing.T) {
	client, out := newTestClient("unreachable", "a", "b")
	now := ids.Time(1)
	call := func() (responseTime time.Duration) {
		began, done := now, false
		client.Call(now, "k", Read, nil, 3*time.Second, func(_ ids.Time, o Outcome, _ []byte) { done = o == Succeeded })
		for !done && now.Sub(began) < 3*time.Second {
			for _, command := range out.Drain() {
				send := command.(event.Send)
				if request := send.Message.(Request); send.To != "unreachable" {
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
	for range 60 { // one call every 500 ms, for 30 s
		now = now.Add(500 * time.Millisecond)
		if call() > 50*time.Millisecond {
			slow++
		}
	}
	if slow > 3 {
		t.Fatalf("%d of 60 calls waited for the unresponsive store", slow)
	}
	if !client.HadUnresponsiveStore(now) {
		t.Fatal("HadUnresponsiveStore doesn't report the unresponsive store")
	}
}

// The second attempt of a call goes to another store.
func TestClient_NextAttemptGoesToAnotherStore(t *testing.T) {
	client, out := newTestClient("unreachable", "a")
	client.Call(1, "k", Read, nil, 3*time.Second, func(ids.Time, Outcome, []byte) {})
	client.Tick(ids.Time(1).Add(attemptTimeout))
	var sentTo []ids.Address
	for _, command := range out.Drain() {
		sentTo = append(sentTo, command.(event.Send).To)
	}
	if len(sentTo) != 2 || sentTo[0] != "unreachable" || sentTo[1] != "a" {
		t.Fatalf("attempts were sent to %v", sentTo)
	}
}
