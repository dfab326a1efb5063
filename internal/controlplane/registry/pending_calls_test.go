package registry_test

import (
	"fmt"
	"testing"
	"time"

	"dunlinwell/internal/controlplane/registry"
	"dunlinwell/internal/controlplane/registry/registrytest"
)

// A change that was answered 503 never takes effect; one that may have taken effect is
// answered 504, and when it is sent again it gets its first result.
func TestChange_RejectedHasNoEffect(t *testing.T) {
	harness := registrytest.New(registry.Options{})
	setUp(t, harness)
	harness.Link = registrytest.RepliesLost
	lost, _ := harness.Call(3, change(fmt.Sprintf(serviceChange, "lost"))(3))
	harness.Run(2 * time.Second)
	before := string(harness.Value())
	rejected, _ := harness.Call(4, change(`{"id":"late","changes":[{"kind":"service","name":"late","put":{}}]}`)(4))
	harness.Run(5 * time.Second)
	if lost.Status != 504 || rejected.Status != 503 || string(harness.Value()) != before {
		t.Fatalf("%d and %d; the configuration is now %s", lost.Status, rejected.Status, harness.Value())
	}
	harness.Link = registrytest.Connected
	harness.Run(2 * time.Second)
	again, _ := harness.Call(5, change(fmt.Sprintf(serviceChange, "lost"))(5))
	if again.Status != 200 || string(harness.Value()) != before {
		t.Fatalf("the repeated change: %+v", again)
	}
}

// A majority that is slow, but there, keeps its calls: what a slow disk delays isn't
// answered as lost.
func TestChange_WaitsForSlowMajority(t *testing.T) {
	harness := registrytest.New(registry.Options{})
	setUp(t, harness)
	harness.ChangeDelay = 1500 * time.Millisecond
	got, took := harness.Call(3, change(fmt.Sprintf(serviceChange, "slow"))(3))
	if got.Status != 200 || took < time.Second {
		t.Fatalf("%+v after %s", got, took)
	}
}

// Regression: a registry whose machine was busy for longer than the lease rejected the call
// that arrived meanwhile, though its majority was there all the time.
func TestChange_WaitsForLeaseRenewal(t *testing.T) {
	harness := registrytest.New(registry.Options{})
	setUp(t, harness)
	harness.Now = harness.Now.Add(2 * time.Second)
	got, took := harness.Call(3, change(fmt.Sprintf(serviceChange, "busy"))(3))
	if got.Status != 200 || took >= time.Second {
		t.Fatalf("%+v after %s", got, took)
	}
	// A registry whose lease lapsed long ago answers at once.
	harness.Link = registrytest.Partitioned
	harness.Run(5 * time.Second)
	got, took = harness.Call(4, change(fmt.Sprintf(serviceChange, "isolated"))(4))
	if got.Status != 503 || took > 100*time.Millisecond {
		t.Fatalf("%+v after %s", got, took)
	}
}
