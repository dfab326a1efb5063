package registry_test

import (
	"fmt"
	"testing"
	"time"

	"dunlinwell/internal/controlplane/registry"
	"dunlinwell/internal/controlplane/registry/registrytest"
)

// A change that is answered with 503 never takes effect. One that may have taken effect is
// answered with 504, and a retry returns its original result.
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
		t.Fatalf("statuses %d and %d, want 504 and 503; configuration is now %s, want it unchanged", lost.Status, rejected.Status, harness.Value())
	}
	harness.Link = registrytest.Connected
	harness.Run(2 * time.Second)
	again, _ := harness.Call(5, change(fmt.Sprintf(serviceChange, "lost"))(5))
	if again.Status != 200 || string(harness.Value()) != before {
		t.Fatalf("retried change answered with %+v; want status 200 and an unchanged configuration", again)
	}
}

// A change isn't abandoned while a majority is reachable but slow, such as one with slow disks.
func TestChange_WaitsForSlowMajority(t *testing.T) {
	harness := registrytest.New(registry.Options{})
	setUp(t, harness)
	harness.ChangeDelay = 1500 * time.Millisecond
	got, took := harness.Call(3, change(fmt.Sprintf(serviceChange, "slow"))(3))
	if got.Status != 200 || took < time.Second {
		t.Fatalf("answered with %+v after %s", got, took)
	}
}

// Regression: a registry that was delayed by a busy machine for longer than the lease
// rejected calls, although a majority was reachable.
func TestChange_WaitsForLeaseRenewal(t *testing.T) {
	harness := registrytest.New(registry.Options{})
	setUp(t, harness)
	harness.Now = harness.Now.Add(2 * time.Second)
	got, took := harness.Call(3, change(fmt.Sprintf(serviceChange, "busy"))(3))
	if got.Status != 200 || took >= time.Second {
		t.Fatalf("answered with %+v after %s", got, took)
	}
	// A registry whose lease expired long ago answers at once.
	harness.Link = registrytest.Partitioned
	harness.Run(5 * time.Second)
	got, took = harness.Call(4, change(fmt.Sprintf(serviceChange, "isolated"))(4))
	if got.Status != 503 || took > 100*time.Millisecond {
		t.Fatalf("answered with %+v after %s", got, took)
	}
}
