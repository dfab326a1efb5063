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
	latencyGoal   = 600 * time.Millisecond
	clientTimeout = 4 * time.Second
)

// newSaturatedDispatcher is a dispatcher whose one place is taken by request 1.
func newSaturatedDispatcher() (*Dispatcher, ids.Time) {
	now := ids.Time(time.Second)
	d := New(Options{Random: rand.New(rand.NewPCG(1, 1)), Self: idempotency.Owner{Daemon: "c", RunID: 1}})
	d.Step(now, ServiceState{
		DefaultCapacity: 1, RetryBudget: 5, IsCurrent: true, LeaseExpiresAt: 1 << 60, Terms: map[ids.Name]RouteTerms{"r": {}},
		Targets: []Allocation{{Target: targets.Target{Instance: "t", Warmth: 1, Capacity: 1}, SlotShareCount: 1}},
	})
	d.Step(now, event.Tick{})
	d.Step(now, newRequest(now, 1, clientTimeout))
	return d, now
}

func newRequest(now ids.Time, id ids.RequestID, left time.Duration) RequestArrived {
	return RequestArrived{Job{ID: id, Route: "r", Service: "s", Repeatable: true, Attempt: 1, LatencyGoal: latencyGoal, Deadline: now.Add(left)}}
}

// findForwardAndReject gives the request that left among commands, and rejected the one
// that was turned away.
func findForwardAndReject(list []event.Command) (out, rejected ids.RequestID) {
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
func TestDispatcher_ServesReachableGoalsFirst(t *testing.T) {
	is := is.New(t)
	d, now := newSaturatedDispatcher()
	// 2 was lost elsewhere for 2 s; 3 comes for the first time.
	d.Step(now, newRequest(now, 2, clientTimeout-2*time.Second))
	d.Step(now, newRequest(now, 3, clientTimeout))
	is.Equal(d.QueueLength(), 2)
	now = now.Add(20 * time.Millisecond)
	out, _ := findForwardAndReject(d.Step(now, AttemptFinished{ID: 1, Sequence: d.jobs[1].sequence, Result: Complete}))
	is.Equal(out, ids.RequestID(3))
	out, _ = findForwardAndReject(d.Step(now, AttemptFinished{ID: 3, Sequence: d.jobs[3].sequence, Result: Complete}))
	is.Equal(out, ids.RequestID(2))
}

// One whose goal is past loses nothing by a wait, while one that can meet it is
// told in time to try again.
func TestDispatcher_WaitLimitDependsOnReachableGoal(t *testing.T) {
	is := is.New(t)
	d, now := newSaturatedDispatcher()
	d.Step(now, newRequest(now, 2, clientTimeout-2*time.Second))
	d.Step(now, newRequest(now, 3, clientTimeout))
	gone := map[ids.RequestID]time.Duration{}
	for at := time.Duration(0); at < 1500*time.Millisecond; at += 10 * time.Millisecond {
		if _, id := findForwardAndReject(d.Step(now.Add(at), event.Tick{})); id != 0 {
			gone[id] = at
		}
	}
	is.Equal(gone[3], latencyGoal/4+10*time.Millisecond)
	is.Equal(gone[2], maxQueueWait+10*time.Millisecond)
}

// What a route's clients give at first is learned from them: where all give
// less than before they aren't taken for late for ever.
func TestDispatcher_LearnsShorterClientTimeouts(t *testing.T) {
	is := is.New(t)
	d, now := newSaturatedDispatcher()
	j := func(left time.Duration) *job {
		j := &job{Job: newRequest(now, 9, left).Job}
		d.checkGoalReachable(now, j)
		return j
	}
	is.True(!j(clientTimeout).goalUnreachable)
	is.True(j(clientTimeout - latencyGoal).goalUnreachable)
	is.True(!j(clientTimeout - latencyGoal/2).goalUnreachable)
	for range 4 * longestTimeoutDecay {
		j(clientTimeout / 2)
	}
	is.True(!j(clientTimeout / 2).goalUnreachable)
	is.True(j(clientTimeout/2 - latencyGoal).goalUnreachable)
}
