package registry_test

import (
	"testing"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/registry"
	"dunlinwell/internal/controlplane/registry/registrytest"
	"dunlinwell/internal/controlplane/spill"
	"dunlinwell/internal/state/election"
)

// plannerEpoch gives the epoch that a registry plans under, 0 if it doesn't.
func plannerEpoch(core *registrytest.Harness) ids.Epoch {
	duty := core.Status(core.Now).Leaderships[0]
	if !duty.Held {
		return 0
	}
	return duty.Epoch
}

// peerAddress is where the registry before ours in line is.
const peerAddress ids.Address = "10.0.0.9:1"

// heartbeatPeer beats for a registry that stands before ours in line.
func heartbeatPeer(core *registrytest.Harness, ready bool, span time.Duration) {
	for end := core.Now.Add(span); core.Now < end; core.Run(100 * time.Millisecond) {
		core.Deliver(membership.Heartbeat{Self: membership.Member{
			ID: "another", Role: membership.Registry, Address: peerAddress, RunID: 1,
			Ready: ready, Incarnation: ids.Incarnation(core.Now),
		}})
	}
}

// declarePeerDead has others say that the registry before ours in line is gone.
func declarePeerDead(core *registrytest.Harness) {
	core.Deliver(membership.Snapshot{Members: []membership.Member{{
		ID: "another", Role: membership.Registry, Address: peerAddress, RunID: 1,
		Gone: true, Incarnation: ids.Incarnation(core.Now),
	}}})
	core.Run(100 * time.Millisecond)
}

// A registry that hears nothing went on as the planner, by reports that no longer
// came; the others took it for the planner as long as they heard it.
func TestPlanner_StepsDownWithoutLease(t *testing.T) {
	core := registrytest.New(registry.Options{})
	setUp(t, core)
	core.Run(time.Second)
	if plannerEpoch(core) != 1 {
		t.Fatalf("the only registry plans under %d", plannerEpoch(core))
	}
	core.Link = registrytest.OneWay
	core.Run(1700 * time.Millisecond)
	if plannerEpoch(core) != 0 {
		t.Fatal("it plans without the lease")
	}
	core.Run(20 * time.Second)
	core.Link = registrytest.Connected
	core.Run(4 * time.Second)
	// What it sent under its first tenure may still be on its way.
	if plannerEpoch(core) != 2 {
		t.Fatalf("back, it plans under %d", plannerEpoch(core))
	}
}

// One that says that it reaches no majority is passed over.
func TestPlanner_ReplacedWhenNotReady(t *testing.T) {
	core := registrytest.New(registry.Options{})
	setUp(t, core)
	heartbeatPeer(core, true, 3*time.Second)
	if plannerEpoch(core) != 0 {
		t.Fatal("two plan")
	}
	heartbeatPeer(core, false, 3*time.Second)
	if plannerEpoch(core) == 0 {
		t.Fatal("nobody plans while the first in line is deaf")
	}
	heartbeatPeer(core, true, time.Second)
	if plannerEpoch(core) != 0 {
		t.Fatal("it goes on although the first is back")
	}
}

// Failure detection that wavers had one registry take the duty four times in 6 s,
// each time under one and the same epoch.
func TestPlanner_StableUnderFlappingFailureDetection(t *testing.T) {
	core := registrytest.New(registry.Options{})
	setUp(t, core)
	core.Run(2 * time.Second)
	taken, last := 0, plannerEpoch(core)
	epochs := map[ids.Epoch]bool{last: true}
	for range 6 {
		for _, dead := range []bool{false, true} {
			if dead {
				declarePeerDead(core)
				core.Run(400 * time.Millisecond)
			} else {
				heartbeatPeer(core, true, 500*time.Millisecond)
			}
			now := plannerEpoch(core)
			if now != 0 && last == 0 {
				taken++
				if epochs[now] {
					t.Errorf("taken again under epoch %d", now)
				}
				epochs[now] = true
			}
			last = now
		}
	}
	if taken > 3 {
		t.Errorf("taken %d times in 6 s", taken)
	}
}

// A plan of a tenure that has ended is rejected by whoever knows of a later one.
func TestSpillTable_StaleEpochIsRejected(t *testing.T) {
	core := registrytest.New(registry.Options{PlanEvery: time.Hour})
	setUp(t, core)
	move := func(to ids.Name) []spill.Move { return []spill.Move{{From: "c", To: to, Fraction: 1}} }
	declarePeerDead(core)
	core.DeliverFrom(peerAddress, spill.Table{Epoch: 7, Number: 1, Moves: move("new")})
	core.DeliverFrom(peerAddress, spill.Table{Epoch: 6, Number: 99, Moves: move("old")})
	if got := core.SpillTable(); got.Epoch != 7 || got.Moves[0].To != "new" {
		t.Fatalf("%+v", got)
	}
	// Whoever goes by the old epoch is told: it hadn't heard of the new one.
	var told ids.Epoch
	core.OnSend = func(s event.Send) {
		if term, ok := s.Msg.(election.Term); ok && s.To == peerAddress {
			told = term.Epoch
		}
	}
	core.DeliverFrom(peerAddress, spill.Table{Epoch: 6, Number: 100})
	if told != 7 {
		t.Fatalf("told of epoch %d", told)
	}
	// It goes on above what it has heard of, though the register tells of less.
	core.Run(4 * time.Second)
	if plannerEpoch(core) <= 7 {
		t.Fatalf("plans under %d", plannerEpoch(core))
	}
}

// Where all started at once, each saw the others not ready, and took the duty:
// three takings within 50 ms, and the one that planned in the end was rejected by
// the others, as nobody had told it of the later epochs.
func TestPlanner_ElectedOnceAtSimultaneousStart(t *testing.T) {
	core := registrytest.NewStarting(registry.Options{})
	besideOne := func(span time.Duration) { heartbeatPeer(core, false, span) }
	besideOne(2 * time.Second)
	setUp(t, core)
	besideOne(time.Second)
	if plannerEpoch(core) != 0 {
		t.Fatal("it passes over one that has only just started")
	}
	besideOne(4 * time.Second)
	if plannerEpoch(core) == 0 {
		t.Fatal("it doesn't pass over one that reaches no majority")
	}
	// A later epoch that it learns of late costs it the duty, until it has its own.
	core.DeliverFrom(peerAddress, election.Term{Epoch: 9})
	if plannerEpoch(core) != 0 {
		t.Fatal("it plans on under an epoch that has ended")
	}
	besideOne(3 * time.Second)
	if plannerEpoch(core) != 10 {
		t.Fatalf("it plans under %d", plannerEpoch(core))
	}
}
