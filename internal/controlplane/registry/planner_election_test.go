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
// membership list ("the preceding peer"), and so is preferred as the planner.
const peerAddress ids.Address = "10.0.0.9:1"

// plannerEpoch returns the epoch under which a registry leads, 0 if it doesn't.
func plannerEpoch(harness *registrytest.Harness) ids.Epoch {
	leadership := harness.Status(harness.Now).Leaderships[0]
	if !leadership.Held {
		return 0
	}
	return leadership.Epoch
}

// heartbeatPeer advances time while the preceding peer sends heartbeats.
func heartbeatPeer(harness *registrytest.Harness, ready bool, duration time.Duration) {
	for end := harness.Now.Add(duration); harness.Now < end; harness.Run(100 * time.Millisecond) {
		peer := newPeer(harness)
		peer.Ready = ready
		harness.Deliver(membership.Heartbeat{Self: peer})
	}
}

// declarePeerDead makes another daemon declare the preceding peer dead.
func declarePeerDead(harness *registrytest.Harness) {
	peer := newPeer(harness)
	peer.Dead = true
	harness.Deliver(membership.Snapshot{Members: []membership.Member{peer}})
	harness.Run(100 * time.Millisecond)
}

// newPeer returns the preceding peer in a new incarnation.
func newPeer(harness *registrytest.Harness) membership.Member {
	return membership.Member{
		ID: "another", Role: membership.Registry, Address: peerAddress, RunID: 1,
		Incarnation: ids.Incarnation(harness.Now),
	}
}

// Regression: a registry that could send but not receive kept planning from stale reports,
// and its peers accepted the plans.
func TestPlanner_StepsDownWithoutLease(t *testing.T) {
	harness := registrytest.New(registry.Options{})
	setUp(t, harness)
	harness.Run(time.Second)
	if plannerEpoch(harness) != 1 {
		t.Fatalf("the only registry leads under epoch %d, want 1", plannerEpoch(harness))
	}
	harness.Link = registrytest.RepliesLost
	harness.Run(1700 * time.Millisecond)
	if plannerEpoch(harness) != 0 {
		t.Fatal("leads without the lease")
	}
	harness.Run(20 * time.Second)
	harness.Link = registrytest.Connected
	harness.Run(4 * time.Second)
	// Messages of its first epoch may still be in flight, so it needs a new one.
	if plannerEpoch(harness) != 2 {
		t.Fatalf("leads under epoch %d after reconnecting, want 2", plannerEpoch(harness))
	}
}

// A registry leads in place of a preceding peer that isn't ready.
func TestPlanner_ReplacedWhenNotReady(t *testing.T) {
	harness := registrytest.New(registry.Options{})
	setUp(t, harness)
	heartbeatPeer(harness, true, 3*time.Second)
	if plannerEpoch(harness) != 0 {
		t.Fatal("leads although the preceding peer is ready")
	}
	heartbeatPeer(harness, false, 3*time.Second)
	if plannerEpoch(harness) == 0 {
		t.Fatal("doesn't lead although the preceding peer is not ready")
	}
	heartbeatPeer(harness, true, time.Second)
	if plannerEpoch(harness) != 0 {
		t.Fatal("still leads although the preceding peer is ready again")
	}
}

// Regression: flapping failure detection caused one registry to be elected four times in
// 6 s, each time under the same epoch.
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
		t.Errorf("elected %d times in 6 s, want at most 3", elections)
	}
}

// Regression: when all registries started at the same time, each saw the others not ready and
// was elected, and the peers rejected plans of a planner that had missed the higher epochs.
func TestPlanner_ElectedOnceAtSimultaneousStart(t *testing.T) {
	harness := registrytest.NewStarting(registry.Options{})
	runWithUnreadyPeer := func(duration time.Duration) { heartbeatPeer(harness, false, duration) }
	runWithUnreadyPeer(2 * time.Second)
	setUp(t, harness)
	runWithUnreadyPeer(time.Second)
	if plannerEpoch(harness) != 0 {
		t.Fatal("leads in place of a peer that has only just started")
	}
	runWithUnreadyPeer(4 * time.Second)
	if plannerEpoch(harness) == 0 {
		t.Fatal("doesn't lead although the preceding peer stays not ready")
	}
	// It steps down for a higher epoch, until it is elected under an even higher one.
	harness.DeliverFrom(peerAddress, election.Term{Epoch: 9})
	if plannerEpoch(harness) != 0 {
		t.Fatal("still leads under a stale epoch")
	}
	runWithUnreadyPeer(3 * time.Second)
	if plannerEpoch(harness) != 10 {
		t.Fatalf("leads under epoch %d, want 10", plannerEpoch(harness))
	}
}
