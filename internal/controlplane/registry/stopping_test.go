package registry_test

import (
	"fmt"
	"testing"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/registry"
	"dunlinwell/internal/controlplane/registry/registrytest"
)

// A registry that is shutting down resigns at once, reports itself not ready, rejects calls
// and isn't elected again.
func TestStopping_StepsDownAndRejectsCalls(t *testing.T) {
	harness := registrytest.New(registry.Options{})
	setUp(t, harness)
	harness.Run(time.Second)
	if plannerEpoch(harness) == 0 {
		t.Fatal("the only registry doesn't lead")
	}
	heartbeatPeer(harness, true, 200*time.Millisecond)
	harness.Run(time.Second)
	ready := true
	harness.OnSend = func(s event.Send) {
		if heartbeat, ok := s.Message.(membership.Heartbeat); ok {
			ready = heartbeat.Self.Ready
		}
	}
	harness.Step(registry.Stopping{})
	if plannerEpoch(harness) != 0 {
		t.Fatal("still leads after Stopping")
	}
	for id, call := range map[uint64]event.Event{
		901: registry.ReadConfigurationCall{ID: 901},
		902: registry.ChangeCall{ID: 902, Raw: []byte(`{}`)},
		903: registry.HeartbeatCall{ID: 903},
		904: registry.ResolveCall{ID: 904},
		905: registry.DeregisterCall{ID: 905},
		906: registry.MergeCall{ID: 906},
		907: registry.ZoneEvacuationCall{ID: 907},
	} {
		t.Run(fmt.Sprintf("%T", call), func(t *testing.T) {
			if response, took := harness.Call(id, call); response.Status != 503 || response.RetryAfter == 0 || took > 0 {
				t.Fatalf("answered with %+v after %s, want 503 with Retry-After at once", response, took)
			}
		})
	}
	harness.Run(5 * time.Second)
	if plannerEpoch(harness) != 0 || ready {
		t.Fatalf("leads under epoch %d, ready: %v; want it not to lead and not to be ready", plannerEpoch(harness), ready)
	}
}
