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
	// latencyGoal is the latency goal of all requests in these tests.
	latencyGoal = 600 * time.Millisecond
	// clientTimeout is the timeout of a client's first attempt.
	clientTimeout = 4 * time.Second
)

// newSaturatedDispatcher returns a dispatcher whose only slot is in use by request 1.
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

// newRequest returns a repeatable request whose deadline is timeLeft from now.
func newRequest(now ids.Time, id ids.RequestID, timeLeft time.Duration) RequestArrived {
	return RequestArrived{Job{ID: id, Route: "r", Service: "s", Repeatable: true, Attempt: 1, LatencyGoal: latencyGoal, Deadline: now.Add(timeLeft)}}
}

// findForwardAndReject returns the IDs of the last request that commands forward and the last
// that they reject; 0 for none.
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

// Requests that can no longer meet their goal must not delay those that can, for example
// after an outage.
func TestDispatcher_ServesReachableGoalsFirst(t *testing.T) {
	is := is.New(t)
	d, now := newSaturatedDispatcher()
	// Request 2 has already spent 2 s elsewhere; request 3 is a first attempt.
	d.Step(now, newRequest(now, 2, clientTimeout-2*time.Second))
	d.Step(now, newRequest(now, 3, clientTimeout))
	is.Equal(d.QueueLength(), 2)
	now = now.Add(20 * time.Millisecond)
	forwarded, _ := findForwardAndReject(d.Step(now, AttemptFinished{ID: 1, Sequence: d.jobs[1].sequence, Result: Complete}))
	is.Equal(forwarded, ids.RequestID(3))
	forwarded, _ = findForwardAndReject(d.Step(now, AttemptFinished{ID: 3, Sequence: d.jobs[3].sequence, Result: Complete}))
	is.Equal(forwarded, ids.RequestID(2))
}

// A request that can meet its goal is rejected early enough for another attempt; one that
// can't waits up to maxQueueWait.
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

// After all clients of a route have shortened their timeout, new requests must not count as
// late forever.
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
