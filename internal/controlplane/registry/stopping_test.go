package registry_test

import (
	"testing"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/registry"
	"dunlinwell/internal/controlplane/registry/registrytest"
)

// A registry that is told to stop gives its duty up at once, says so to the roll, and
// sends callers on; it takes no duty any more.
func TestStopping_StepsDownAndRejectsCalls(t *testing.T) {
	core := registrytest.New(registry.Options{})
	setUp(t, core)
	core.Run(time.Second)
	if plannerEpoch(core) == 0 {
		t.Fatal("the only registry doesn't plan")
	}
	heartbeatPeer(core, true, 200*time.Millisecond)
	core.Run(time.Second)
	ready := true
	core.OnSend = func(s event.Send) {
		if h, ok := s.Msg.(membership.Heartbeat); ok {
			ready = h.Self.Ready
		}
	}
	core.Step(registry.Stopping{})
	if plannerEpoch(core) != 0 {
		t.Fatal("it goes on planning")
	}
	calls := map[uint64]event.Event{
		901: registry.ReadConfigurationCall{ID: 901}, 902: registry.ChangeCall{ID: 902, Raw: []byte(`{}`)}, 903: registry.HeartbeatCall{ID: 903},
		904: registry.ResolveCall{ID: 904}, 905: registry.DeregisterCall{ID: 905}, 906: registry.MergeCall{ID: 906}, 907: registry.ZoneOrderCall{ID: 907},
	}
	for id, call := range calls {
		if r, took := core.Call(id, call); r.Status != 503 || r.RetryAfter == 0 || took > 0 {
			t.Fatalf("%T: %+v after %s", call, r, took)
		}
	}
	core.Run(5 * time.Second)
	if plannerEpoch(core) != 0 || ready {
		t.Fatalf("plans under %d, says that it is ready: %v", plannerEpoch(core), ready)
	}
}
