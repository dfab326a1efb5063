package registry

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/targets"
)

func targetWithSequence(sequence ids.Sequence) targets.Target {
	return targets.Target{
		Instance: "i", Incarnation: 1, Sequence: sequence, Service: "s",
		Address: "10.0.1.1:80", Zone: "c", Warmth: 1, IntervalMillis: 1000,
	}
}

// Regression: during a partition, each side expired the targets that sent heartbeats to the
// other. Proxies reached both sides and removed all targets.
func TestIsolatedRegistry_ExpiresNoTarget(t *testing.T) {
	for _, incremental := range []bool{true, false} {
		t.Run(fmt.Sprintf("incremental=%v", incremental), func(t *testing.T) {
			is := is.New(t)
			r := newTestRegistry(incremental)
			r.run(3*time.Second, targetWithSequence)
			r.partitioned = true
			r.run(10*time.Second, nil)
			target, known := r.Targets.Get(r.now, "i")
			is.True(known)
			is.True(!target.Dead)
			// Timeouts restart once it reaches the majority again.
			r.partitioned = false
			r.run(2500*time.Millisecond, nil)
			target, _ = r.Targets.Get(r.now, "i")
			is.True(!target.Dead)
			r.run(2*time.Second, nil)
			target, _ = r.Targets.Get(r.now, "i")
			is.True(target.Dead)
		})
	}
}

// An isolated registry merges a target's heartbeat but rejects the call, so that the target
// tries another registry: the peers may not receive the update.
func TestIsolatedRegistry_RedirectsTargets(t *testing.T) {
	is := is.New(t)
	r := newTestRegistry(true)
	r.run(time.Second, nil)
	r.step(HeartbeatCall{ID: 1, Target: targetWithSequence(1)})
	is.Equal(r.statuses[1], 200)
	r.partitioned = true
	r.run(2*time.Second, nil)
	r.step(HeartbeatCall{ID: 2, Target: targetWithSequence(2)})
	is.Equal(r.statuses[2], 503)
	is.Equal(r.Targets.LatestSequence("i"), ids.Sequence(2))
	// A departure is merged too, for the proxies that can be reached. It isn't confirmed,
	// so that the target tries another registry.
	leaving := targetWithSequence(3)
	leaving.Draining = true
	r.step(HeartbeatCall{ID: 3, Target: leaving})
	r.run(time.Second, nil)
	is.Equal(r.statuses[3], 503)
	target, known := r.Targets.Get(r.now, "i")
	is.True(known && target.Draining)
	r.partitioned = false
	r.run(2*time.Second, nil)
	r.step(HeartbeatCall{ID: 4, Target: targetWithSequence(4)})
	is.Equal(r.statuses[4], 200)
}

// Regression: a target that deregistered at a registry with an old heartbeat came back through
// its registrar, which had later ones, or through a delayed heartbeat.
func TestDeregister_IsFinal(t *testing.T) {
	is := is.New(t)
	r := newTestRegistry(true)
	r.run(time.Second, nil)
	r.step(HeartbeatCall{ID: 1, Target: targetWithSequence(1)})
	registrar := targets.New()
	registrar.Incremental, registrar.Self = true, "registrar"
	for sequence := range ids.Sequence(9) {
		registrar.Merge(r.now, targetWithSequence(sequence+1))
	}
	r.step(DeregisterCall{ID: 2, Instance: "i"})
	ended, _ := r.Targets.Get(r.now, "i")
	is.True(ended.Dead)

	reply := registrar.Merge(r.now, ended)
	r.deliver(targets.Update{Targets: reply})
	late := targetWithSequence(10)
	registrar.Merge(r.now, late)
	r.step(HeartbeatCall{ID: 3, Target: late})
	for name, table := range map[string]*targets.Table{"registry": r.Targets, "registrar": registrar} {
		target, known := table.Get(r.now, "i")
		if !known || !target.Dead {
			t.Errorf("the target is in use again at the %s", name)
		}
	}
	// A new incarnation of the target is accepted.
	restarted := targetWithSequence(1)
	restarted.Incarnation = 2
	r.step(HeartbeatCall{ID: 4, Target: restarted})
	target, _ := r.Targets.Get(r.now, "i")
	is.True(!target.Dead)
}

// A registry that has just started doesn't confirm the deregistration of an unknown target,
// which a peer may know. After unknownTargetGrace it does.
func TestDeregister_UnknownTarget(t *testing.T) {
	is := is.New(t)
	r := newTestRegistry(true)
	r.run(time.Second, nil)
	r.step(DeregisterCall{ID: 1, Instance: "i"})
	is.Equal(r.statuses[1], 503)
	r.run(unknownTargetGrace, nil)
	r.step(DeregisterCall{ID: 2, Instance: "i"})
	is.Equal(r.statuses[2], 200)
}
