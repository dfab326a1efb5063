package proxy

import (
	"testing"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/targets"
)

// Guards against a starting proxy serving the outdated state of a partitioned registry.
func TestUnlimitedLease_StartsWithFreshConfirmation(t *testing.T) {
	older, newer := encodedConfiguration(t, 1), encodedConfiguration(t, 2)
	f := newControlFixture(UnlimitedLease)
	f.push(older, 1, 20*time.Second)
	f.run(2*time.Second, func() { f.push(nil, 1, 20*time.Second) })
	if f.leaseValid(f.now) || f.ready(f.now) {
		t.Fatal("the proxy serves a state that may be 20 s old")
	}
	// A registry on the majority side confirms a newer configuration.
	f.push(newer, 2, 300*time.Millisecond)
	if !f.leaseValid(f.now) || f.view.Revision != 2 {
		t.Fatalf("lease invalid, or revision %d instead of 2", f.view.Revision)
	}
	// The proxy keeps serving, and ignores the older configuration.
	f.run(20*time.Second, func() { f.push(older, 1, 20*time.Second) })
	if !f.leaseValid(f.now) || f.view.Revision != 2 {
		t.Fatalf("lease invalid, or revision %d instead of 2", f.view.Revision)
	}
}

// A recent quorum read that began before the proxy's start is a valid confirmation. Otherwise
// a restart of the whole cluster would take longer than necessary.
func TestUnlimitedLease_AcceptsConfirmationFromBeforeStart(t *testing.T) {
	f := newControlFixture(UnlimitedLease)
	f.run(50*time.Millisecond, nil)
	f.now = ids.Time(300 * time.Millisecond)
	f.push(encodedConfiguration(t, 1), 1, 1200*time.Millisecond)
	if !f.leaseValid(f.now) {
		t.Fatal("the proxy waits for a quorum read that began after its start")
	}
}

// Without a recent confirmation, a proxy serves after unlimitedLeaseStartDelay and logs it.
func TestUnlimitedLease_ServesUnconfirmedAfterDelay(t *testing.T) {
	f := newControlFixture(UnlimitedLease)
	logged := false
	f.push(encodedConfiguration(t, 1), 1, 20*time.Second)
	for range 100 {
		f.now = f.now.Add(50 * time.Millisecond)
		for _, c := range f.Step(f.now, event.Tick{}) {
			entry, ok := c.(event.LogEntry)
			logged = logged || ok && entry.Event == "serving_unconfirmed"
		}
		if waited := f.now.Sub(1); f.leaseValid(f.now) != (waited >= unlimitedLeaseStartDelay) {
			t.Fatalf("lease valid after %s: %v", waited, f.leaseValid(f.now))
		}
	}
	if !logged {
		t.Fatal("serving_unconfirmed wasn't logged")
	}
}

// A quorum read by the proxy itself confirms the configuration but not the targets, which its
// partitioned registry can't confirm either.
func TestLease_NeedsConfirmedTargets(t *testing.T) {
	f := newControlFixture(0)
	f.push(encodedConfiguration(t, 1), 1, 0)
	for range 10 {
		f.run(time.Second, func() {
			f.push(nil, 1, 1600*time.Millisecond+f.now.Sub(1))
			f.confirmConfiguration(f.now, 1, f.now) // as after a read from the stores
		})
	}
	if f.leaseValid(f.now) {
		t.Fatal("the lease is valid without confirmed targets")
	}
	f.push(nil, 1, 0)
	if !f.leaseValid(f.now) {
		t.Fatal("the lease isn't valid though a registry has confirmed the targets")
	}
}

// A target's state isn't replaced by an older one, as from an earlier run of a registry or the
// other side of a partition, regardless of the order of arrival.
func TestPush_LateUpdateIsIgnored(t *testing.T) {
	f := newControlFixture(UnlimitedLease)
	f.push(encodedConfiguration(t, 1), 1, 0)
	target := targets.Target{Instance: "i", Incarnation: 1, Sequence: 5, Service: "a", Address: "10.0.0.1:80", Zone: "quay", Warmth: 1, IntervalMillis: 1000}
	leaving := target
	leaving.Sequence, leaving.Draining = 6, true
	f.push(nil, 1, 0, leaving)
	f.push(nil, 1, 20*time.Second, target)
	if got, _ := f.targets.Get(f.now, "i"); !got.Draining {
		t.Fatal("a late push reset the target's draining state")
	}
}
