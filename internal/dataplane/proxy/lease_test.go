package proxy

import (
	"testing"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/targets"
)

// A proxy that starts while it reaches only a registry cut off for 20 s doesn't serve by
// what that registry knows. It once did.
func TestUnlimitedLease_StartsWithFreshConfirmation(t *testing.T) {
	older, newer := encodedConfiguration(t, 1), encodedConfiguration(t, 2)
	f := newControlFixture(EndlessLease)
	f.push(older, 1, 20*time.Second)
	f.run(2*time.Second, func() { f.push(nil, 1, 20*time.Second) })
	if f.leaseValid(f.now) || f.ready(f.now) {
		t.Fatal("it serves by what may be 20 s old")
	}
	// The other side is reached: it serves at once, by the newer.
	f.push(newer, 2, 300*time.Millisecond)
	if !f.leaseValid(f.now) || f.view.Revision != 2 {
		t.Fatalf("it doesn't serve by revision %d", f.view.Revision)
	}
	// From then on it never stops, and never goes back.
	f.run(20*time.Second, func() { f.push(older, 1, 20*time.Second) })
	if !f.leaseValid(f.now) || f.view.Revision != 2 {
		t.Fatalf("it went back to %d", f.view.Revision)
	}
}

// A majority read that began before the proxy's own start confirms as well: a proxy that
// restarts together with all others would otherwise serve 1 s later than it could.
func TestUnlimitedLease_AcceptsConfirmationFromBeforeStart(t *testing.T) {
	f := newControlFixture(EndlessLease)
	f.run(50*time.Millisecond, nil)
	f.now = ids.Time(300 * time.Millisecond)
	f.push(encodedConfiguration(t, 1), 1, 1200*time.Millisecond)
	if !f.leaseValid(f.now) {
		t.Fatal("it waits for a majority read that began after its start")
	}
}

// Where no recent confirmation can be had, a proxy serves after all, and logs it.
func TestUnlimitedLease_ServesUnconfirmedAfterDelay(t *testing.T) {
	f := newControlFixture(EndlessLease)
	logged := false
	f.push(encodedConfiguration(t, 1), 1, 20*time.Second)
	for range 100 {
		f.now = f.now.Add(50 * time.Millisecond)
		for _, c := range f.Step(f.now, event.Tick{}) {
			entry, ok := c.(event.LogEntry)
			logged = logged || ok && entry.Event == "serving_unconfirmed"
		}
		if waited := f.now.Sub(1); f.leaseValid(f.now) != (waited >= unlimitedLeaseStartDelay) {
			t.Fatalf("serves after %s: %v", waited, f.leaseValid(f.now))
		}
	}
	if !logged {
		t.Fatal("it didn't log it")
	}
}

// A proxy that reads from the stores itself knows that its configuration is in force; of
// the targets it knows no more than its registry, which is cut off from them.
func TestLease_NeedsConfirmedTargets(t *testing.T) {
	f := newControlFixture(0)
	f.push(encodedConfiguration(t, 1), 1, 0)
	for range 10 {
		f.run(time.Second, func() {
			f.push(nil, 1, 1600*time.Millisecond+f.now.Sub(1))
			f.confirmConfiguration(f.now, 1, f.now) // as read from the stores
		})
	}
	if f.leaseValid(f.now) {
		t.Fatal("it serves by targets that nobody confirms")
	}
	f.push(nil, 1, 0)
	if !f.leaseValid(f.now) {
		t.Fatal("it doesn't serve though a registry with the lease confirms them")
	}
}

// What an earlier run of a registry, or the other side of a partition, says of a target
// doesn't undo what is newer, in whichever order it arrives.
func TestPush_LateUpdateIsIgnored(t *testing.T) {
	f := newControlFixture(EndlessLease)
	f.push(encodedConfiguration(t, 1), 1, 0)
	target := targets.Target{Instance: "i", Incarnation: 1, Sequence: 5, Service: "a", Address: "10.0.0.1:80", Zone: "quay", Warmth: 1, IntervalMillis: 1000}
	leaving := target
	leaving.Sequence, leaving.Draining = 6, true
	f.push(nil, 1, 0, leaving)
	f.push(nil, 1, 20*time.Second, target)
	if got, _ := f.targets.Get(f.now, "i"); !got.Draining {
		t.Fatal("a late push undid that a target is leaving")
	}
}
