package registry_test

import (
	"testing"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/registry"
	"dunlinwell/internal/controlplane/registry/registrytest"
	"dunlinwell/internal/state/election"
)

// peerAddress is the address of a registry that precedes the harness's own in the
// membership list, and so is preferred as the planner.
const peerAddress ids.Address = "10.0.0.9:1"

// plannerEpoch gives the epoch that a registry plans under, 0 if it doesn't.
func plannerEpoch(harness *registrytest.Harness) ids.Epoch {
	leadership := harness.Status(harness.Now).Leaderships[0]
	if !leadership.Held {
		return 0
	}
	return leadership.Epoch
}

// heartbeatPeer lets time pass, and sends the preceding peer's heartbeats meanwhile.
func heartbeatPeer(harness *registrytest.Harness, ready bool, duration time.Duration) {
	for end := harness.Now.Add(duration); harness.Now < end; harness.Run(100 * time.Millisecond) {
		peer := newPeer(harness)
		peer.Ready = ready
		harness.Deliver(membership.Heartbeat{Self: peer})
	}
}

// declarePeerDead has another daemon say that the preceding peer is dead.
func declarePeerDead(harness *registrytest.Harness) {
	peer := newPeer(harness)
	peer.Dead = true
	harness.Deliver(membership.Snapshot{Members: []membership.Member{peer}})
	harness.Run(100 * time.Millisecond)
}

// newPeer gives the preceding peer in a new incarnation.
func newPeer(harness *registrytest.Harness) membership.Member {
	return membership.Member{
		ID: "another", Role: membership.Registry, Address: peerAddress, RunID: 1,
		Incarnation: ids.Incarnation(harness.Now),
	}
}

// Regression: a registry that received nothing went on planning, by reports that no longer
// came; the others accepted its plans as long as they received them.
func TestPlanner_StepsDownWithoutLease(t *testing.T) {
	harness := registrytest.New(registry.Options{})
	setUp(t, harness)
	harness.Run(time.Second)
	if plannerEpoch(harness) != 1 {
		t.Fatalf("the only registry plans under %d", plannerEpoch(harness))
	}
	harness.Link = registrytest.RepliesLost
	harness.Run(1700 * time.Millisecond)
	if plannerEpoch(harness) != 0 {
		t.Fatal("it plans without the lease")
	}
	harness.Run(20 * time.Second)
	harness.Link = registrytest.Connected
	harness.Run(4 * time.Second)
	// What it sent under its first epoch may still be on its way.
	if plannerEpoch(harness) != 2 {
		t.Fatalf("back, it plans under %d", plannerEpoch(harness))
	}
}

// A peer that reports itself not ready is passed over.
func TestPlanner_ReplacedWhenNotReady(t *testing.T) {
	harness := registrytest.New(registry.Options{})
	setUp(t, harness)
	heartbeatPeer(harness, true, 3*time.Second)
	if plannerEpoch(harness) != 0 {
		t.Fatal("two plan")
	}
	heartbeatPeer(harness, false, 3*time.Second)
	if plannerEpoch(harness) == 0 {
		t.Fatal("nobody plans while the preceding peer is not ready")
	}
	heartbeatPeer(harness, true, time.Second)
	if plannerEpoch(harness) != 0 {
		t.Fatal("it goes on planning although the preceding peer is ready")
	}
}

// Regression: flapping failure detection had one registry elected four times in 6 s,
// each time under one and the same epoch.
func TestPlanner_StableUnderFlappingFailureDetection(t *testing.T) {
	harness := registrytest.New(registry.Options{})
	setUp(t, harness)
	harness.Run(2 * time.Second)
	elections, last := 0, plannerEpoch(harness)
	epochs := map[ids.Epoch]bool{last: true}
	for range 6 {
		for _, dead := range []bool{false, true} {
			if dead {
				declarePeerDead(harness)
				harness.Run(400 * time.Millisecond)
			} else {
				heartbeatPeer(harness, true, 500*time.Millisecond)
			}
			now := plannerEpoch(harness)
			if now != 0 && last == 0 {
				elections++
				if epochs[now] {
					t.Errorf("elected again under epoch %d", now)
				}
				epochs[now] = true
			}
			last = now
		}
	}
	if elections > 3 {
		t.Errorf("elected %d times in 6 s", elections)
	}
}

// Regression: when all registries started together, each saw the others not ready and was
// elected: three elections within 50 ms, after which the plans of the last planner were
// rejected by the others, as it hadn't heard of the higher epochs.
func TestPlanner_ElectedOnceAtSimultaneousStart(t *testing.T) {
	harness := registrytest.NewStarting(registry.Options{})
	runWithUnreadyPeer := func(duration time.Duration) { heartbeatPeer(harness, false, duration) }
	runWithUnreadyPeer(2 * time.Second)
	setUp(t, harness)
	runWithUnreadyPeer(time.Second)
	if plannerEpoch(harness) != 0 {
		t.Fatal("it passes over a peer that has only just started")
	}
	runWithUnreadyPeer(4 * time.Second)
	if plannerEpoch(harness) == 0 {
		t.Fatal("it doesn't pass over a peer that stays not ready")
	}
	// A higher epoch ends its leadership, until it is elected under a still higher one.
	harness.DeliverFrom(peerAddress, election.Term{Epoch: 9})
	if plannerEpoch(harness) != 0 {
		t.Fatal("it goes on planning under an epoch that has ended")
	}
	runWithUnreadyPeer(3 * time.Second)
	if plannerEpoch(harness) != 10 {
		t.Fatalf("it plans under %d", plannerEpoch(harness))
	}
}
