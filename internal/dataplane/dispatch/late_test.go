package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/targets"
	"dunlinwell/internal/state/idempotency"
)

const (
	goal     = 600 * time.Millisecond
	patience = 4 * time.Second
)

// crowded is a dispatcher whose one place is taken by request 1.
func crowded() (*Dispatcher, ids.Time) {
	now := ids.Time(time.Second)
	d := New(Options{Random: rand.New(rand.NewPCG(1, 1)), Self: idempotency.Owner{Daemon: "c", RunID: 1}})
	d.Step(now, ServiceState{
		Capacity: 1, Allowance: 5, InStep: true, Lease: 1 << 60, Terms: map[ids.Name]RouteTerms{"r": {}},
		Targets: []Offer{{Target: targets.Target{Instance: "t", Warmth: 1, Capacity: 1}, Seats: 1}},
	})
	d.Step(now, event.Tick{})
	d.Step(now, request(now, 1, patience))
	return d, now
}

func request(now ids.Time, id ids.RequestID, left time.Duration) RequestArrived {
	return RequestArrived{Job{ID: id, Route: "r", Service: "s", Repeatable: true, Attempt: 1, Goal: goal, Deadline: now.Add(left)}}
}

// forwarded gives the request that left among commands, and rejected the one
// that was turned away.
func forwarded(list []event.Command) (out, rejected ids.RequestID) {
	for _, c := range list {
		switch c := c.(type) {
		case Forward:
			out = c.ID
		case Response:
			if c.Class == Rejected {
				rejected = c.ID
			}
		}
	}
	return out, rejected
}

// After an outage the dispatcher served first those who had waited longest, so that
// hardly anyone was served within the goal, and turned the others away.
func TestThoseThatCanMeetTheirGoalGoFirst(t *testing.T) {
	is := is.New(t)
	d, now := crowded()
	// 2 was lost elsewhere for 2 s; 3 comes for the first time.
	d.Step(now, request(now, 2, patience-2*time.Second))
	d.Step(now, request(now, 3, patience))
	is.Equal(d.Waiting(), 2)
	now = now.Add(20 * time.Millisecond)
	out, _ := forwarded(d.Step(now, AttemptFinished{ID: 1, Turn: d.jobs[1].turn, Result: Complete}))
	is.Equal(out, ids.RequestID(3))
	out, _ = forwarded(d.Step(now, AttemptFinished{ID: 3, Turn: d.jobs[3].turn, Result: Complete}))
	is.Equal(out, ids.RequestID(2))
}

// One whose goal is past loses nothing by a wait, while one that can meet it is
// told in time to try again.
func TestPatienceGoesByWhatAWaitCosts(t *testing.T) {
	is := is.New(t)
	d, now := crowded()
	d.Step(now, request(now, 2, patience-2*time.Second))
	d.Step(now, request(now, 3, patience))
	gone := map[ids.RequestID]time.Duration{}
	for at := time.Duration(0); at < 1500*time.Millisecond; at += 10 * time.Millisecond {
		if _, id := forwarded(d.Step(now.Add(at), event.Tick{})); id != 0 {
			gone[id] = at
		}
	}
	is.Equal(gone[3], goal/4+10*time.Millisecond)
	is.Equal(gone[2], longest+10*time.Millisecond)
}

// What a route's clients give at first is learned from them: where all give
// less than before they aren't taken for late for ever.
func TestAShorterDeadlineIsLearned(t *testing.T) {
	is := is.New(t)
	d, now := crowded()
	j := func(left time.Duration) *job {
		j := &job{Job: request(now, 9, left).Job}
		d.age(now, j)
		return j
	}
	is.True(!j(patience).late)
	is.True(j(patience - goal).late)
	is.True(!j(patience - goal/2).late)
	for range 4 * wholeShare {
		j(patience / 2)
	}
	is.True(!j(patience / 2).late)
	is.True(j(patience/2 - goal).late)
}
