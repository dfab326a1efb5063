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
	// latencyGoal is the goal of the requests of these tests.
	latencyGoal = 600 * time.Millisecond
	// clientTimeout is the time that a client gives a request at first.
	clientTimeout = 4 * time.Second
)

// newSaturatedDispatcher returns a dispatcher whose one slot is taken by request 1.
func newSaturatedDispatcher() (*Dispatcher, ids.Time) {
	now := ids.Time(time.Second)
	d := New(Options{Random: rand.New(rand.NewPCG(1, 1)), Self: idempotency.Owner{Daemon: "c", RunID: 1}})
	d.Step(now, ServiceState{
		DefaultCapacity: 1, RetryBudget: 5, IsCurrent: true, LeaseExpiresAt: 1 << 60,
		RouteRules: map[ids.Name]RouteRules{"r": {}},
		Targets:    []Allocation{{Target: targets.Target{Instance: "t", Warmth: 1, Capacity: 1}, SlotShareCount: 1}},
	})
	d.Step(now, event.Tick{})
	d.Step(now, newRequest(now, 1, clientTimeout))
	return d, now
}

// newRequest returns a repeatable request with some time left.
func newRequest(now ids.Time, id ids.RequestID, timeLeft time.Duration) RequestArrived {
	return RequestArrived{Job{ID: id, Route: "r", Service: "s", Repeatable: true, Attempt: 1, LatencyGoal: latencyGoal, Deadline: now.Add(timeLeft)}}
}

// findForwardAndReject returns the last request forwarded and the last rejected by some
// commands; 0 for none.
func findForwardAndReject(commands []event.Command) (forwarded, rejected ids.RequestID) {
	for _, command := range commands {
		switch c := command.(type) {
		case Forward:
			forwarded = c.ID
		case Response:
			if c.Class == Rejected {
				rejected = c.ID
			}
		}
	}
	return forwarded, rejected
}

// After an outage, serving those first who had waited longest would serve hardly anyone
// within the goal, and turn the others away.
func TestDispatcher_ServesReachableGoalsFirst(t *testing.T) {
	is := is.New(t)
	d, now := newSaturatedDispatcher()
	// 2 was lost elsewhere for 2 s; 3 arrives for the first time.
	d.Step(now, newRequest(now, 2, clientTimeout-2*time.Second))
	d.Step(now, newRequest(now, 3, clientTimeout))
	is.Equal(d.QueueLength(), 2)
	now = now.Add(20 * time.Millisecond)
	forwarded, _ := findForwardAndReject(d.Step(now, AttemptFinished{ID: 1, Sequence: d.jobs[1].sequence, Result: Complete}))
	is.Equal(forwarded, ids.RequestID(3))
	forwarded, _ = findForwardAndReject(d.Step(now, AttemptFinished{ID: 3, Sequence: d.jobs[3].sequence, Result: Complete}))
	is.Equal(forwarded, ids.RequestID(2))
}

// A request whose goal is out of reach loses nothing by waiting, while one that can meet it
// is rejected in time for another attempt.
func TestDispatcher_WaitLimitDependsOnReachableGoal(t *testing.T) {
	is := is.New(t)
	d, now := newSaturatedDispatcher()
	d.Step(now, newRequest(now, 2, clientTimeout-2*time.Second))
	d.Step(now, newRequest(now, 3, clientTimeout))
	rejectedAfter := map[ids.RequestID]time.Duration{}
	for wait := time.Duration(0); wait < 1500*time.Millisecond; wait += 10 * time.Millisecond {
		if _, id := findForwardAndReject(d.Step(now.Add(wait), event.Tick{})); id != 0 {
			rejectedAfter[id] = wait
		}
	}
	is.Equal(rejectedAfter[3], latencyGoal/4+10*time.Millisecond)
	is.Equal(rejectedAfter[2], maxQueueWait+10*time.Millisecond)
}

// The time that a route's clients give at first is learned from them: where all give less
// than before, they don't count as late for ever.
func TestDispatcher_LearnsShorterClientTimeouts(t *testing.T) {
	is := is.New(t)
	d, now := newSaturatedDispatcher()
	goalUnreachable := func(timeLeft time.Duration) bool {
		j := &job{Job: newRequest(now, 9, timeLeft).Job}
		d.checkGoalReachable(now, j)
		return j.goalUnreachable
	}
	is.True(!goalUnreachable(clientTimeout))
	is.True(goalUnreachable(clientTimeout - latencyGoal))
	is.True(!goalUnreachable(clientTimeout - latencyGoal/2))
	for range 4 * longestTimeoutDecay {
		goalUnreachable(clientTimeout / 2)
	}
	is.True(!goalUnreachable(clientTimeout / 2))
	is.True(goalUnreachable(clientTimeout/2 - latencyGoal))
}
