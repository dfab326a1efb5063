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

// planner gives the epoch that a registry plans under, 0 if it doesn't.
func planner(core *registrytest.Core) ids.Epoch {
	duty := core.Status(core.Now).Leaderships[0]
	if !duty.Held {
		return 0
	}
	return duty.Epoch
}

// another is where the registry before ours in line is.
const another ids.Address = "10.0.0.9:1"

// other beats for a registry that stands before ours in line.
func other(core *registrytest.Core, ready bool, span time.Duration) {
	for end := core.Now.Add(span); core.Now < end; core.Run(100 * time.Millisecond) {
		core.Hear(membership.Heartbeat{Self: membership.Member{
			ID: "another", Role: membership.Registry, Address: another, RunID: 1,
			Ready: ready, Incarnation: ids.Incarnation(core.Now),
		}})
	}
}

// declaredDead has others say that the registry before ours in line is gone.
func declaredDead(core *registrytest.Core) {
	core.Hear(membership.Snapshot{Members: []membership.Member{{
		ID: "another", Role: membership.Registry, Address: another, RunID: 1,
		Gone: true, Incarnation: ids.Incarnation(core.Now),
	}}})
	core.Run(100 * time.Millisecond)
}

// A registry that hears nothing went on as the planner, by reports that no longer
// came; the others took it for the planner as long as they heard it.
func TestAPlannerWithoutTheLeaseGivesTheDutyUp(t *testing.T) {
	core := registrytest.New(registry.Options{})
	setUp(t, core)
	core.Run(time.Second)
	if planner(core) != 1 {
		t.Fatalf("the only registry plans under %d", planner(core))
	}
	core.Link = registrytest.OneWay
	core.Run(1700 * time.Millisecond)
	if planner(core) != 0 {
		t.Fatal("it plans without the lease")
	}
	core.Run(20 * time.Second)
	core.Link = registrytest.Connected
	core.Run(4 * time.Second)
	// What it sent under its first tenure may still be on its way.
	if planner(core) != 2 {
		t.Fatalf("back, it plans under %d", planner(core))
	}
}

// One that says that it reaches no majority is passed over.
func TestADeafPlannerIsReplaced(t *testing.T) {
	core := registrytest.New(registry.Options{})
	setUp(t, core)
	other(core, true, 3*time.Second)
	if planner(core) != 0 {
		t.Fatal("two plan")
	}
	other(core, false, 3*time.Second)
	if planner(core) == 0 {
		t.Fatal("nobody plans while the first in line is deaf")
	}
	other(core, true, time.Second)
	if planner(core) != 0 {
		t.Fatal("it goes on although the first is back")
	}
}

// Failure detection that wavers had one registry take the duty four times in 6 s,
// each time under one and the same epoch.
func TestAWaveringVerdictMovesNoDuty(t *testing.T) {
	core := registrytest.New(registry.Options{})
	setUp(t, core)
	core.Run(2 * time.Second)
	taken, last := 0, planner(core)
	epochs := map[ids.Epoch]bool{last: true}
	for range 6 {
		for _, dead := range []bool{false, true} {
			if dead {
				declaredDead(core)
				core.Run(400 * time.Millisecond)
			} else {
				other(core, true, 500*time.Millisecond)
			}
			now := planner(core)
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
func TestAnOldPlanIsRejected(t *testing.T) {
	core := registrytest.New(registry.Options{PlanEvery: time.Hour})
	setUp(t, core)
	move := func(to ids.Name) []spill.Move { return []spill.Move{{From: "c", To: to, Fraction: 1}} }
	declaredDead(core)
	core.HearFrom(another, spill.Table{Epoch: 7, Number: 1, Moves: move("new")})
	core.HearFrom(another, spill.Table{Epoch: 6, Number: 99, Moves: move("old")})
	if got := core.Moves(); got.Epoch != 7 || got.Moves[0].To != "new" {
		t.Fatalf("%+v", got)
	}
	// Whoever goes by the old epoch is told: it hadn't heard of the new one.
	var told ids.Epoch
	core.Sent = func(s event.Send) {
		if term, ok := s.Msg.(election.Term); ok && s.To == another {
			told = term.Epoch
		}
	}
	core.HearFrom(another, spill.Table{Epoch: 6, Number: 100})
	if told != 7 {
		t.Fatalf("told of epoch %d", told)
	}
	// It goes on above what it has heard of, though the register tells of less.
	core.Run(4 * time.Second)
	if planner(core) <= 7 {
		t.Fatalf("plans under %d", planner(core))
	}
}

// Where all started at once, each saw the others not ready, and took the duty:
// three takings within 50 ms, and the one that planned in the end was rejected by
// the others, as nobody had told it of the later epochs.
func TestThoseThatStartTogetherTakeTheDutyOnce(t *testing.T) {
	core := registrytest.NewStarting(registry.Options{})
	besideOne := func(span time.Duration) { other(core, false, span) }
	besideOne(2 * time.Second)
	setUp(t, core)
	besideOne(time.Second)
	if planner(core) != 0 {
		t.Fatal("it passes over one that has only just started")
	}
	besideOne(4 * time.Second)
	if planner(core) == 0 {
		t.Fatal("it doesn't pass over one that reaches no majority")
	}
	// A later epoch that it learns of late costs it the duty, until it has its own.
	core.HearFrom(another, election.Term{Epoch: 9})
	if planner(core) != 0 {
		t.Fatal("it plans on under an epoch that has ended")
	}
	besideOne(3 * time.Second)
	if planner(core) != 10 {
		t.Fatalf("it plans under %d", planner(core))
	}
}
