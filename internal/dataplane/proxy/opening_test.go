package proxy

import (
	"testing"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/distribution"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/targets"
	"dunlinwell/internal/state/configuration"
)

// controlFixture is a proxy that has just started, and what two registries tell it.
type controlFixture struct {
	*Control
	now    ids.Time
	pushes ids.StreamNumber
}

func newControlFixture(lease time.Duration) *controlFixture {
	return &controlFixture{Control: New(membership.Options{Self: member("p", "quay")}, ControlOptions{Lease: lease}), now: 1}
}

// encodedConfiguration is a configuration with as many services as its revision says.
func encodedConfiguration(t *testing.T, revision int) []byte {
	t.Helper()
	p, err := configuration.Decode(nil)
	if err != nil {
		t.Fatal(err)
	}
	for i := range revision {
		p, _ = p.Merge(configuration.Merge{Items: []configuration.VersionedItem{{Kind: "service", Name: ids.Name(string(rune('a' + i))), Version: 1, Body: []byte("{}")}}})
	}
	return p.Encode(false)
}

// push pushes what a registry holds whose agreement is so old.
func (s *controlFixture) push(raw []byte, revision ids.Revision, age time.Duration, list ...targets.Target) {
	s.pushes++
	s.Step(s.now, event.Received{From: "r", Msg: distribution.Push{
		Number: s.pushes, Revision: revision, Configuration: raw, Targets: list,
		ReadAgeMillis: uint32(age.Milliseconds()), EchoedTime: s.now, ProxyRunID: s.Self.RunID,
	}})
}

// run lets time pass; each second something is told.
func (s *controlFixture) run(span time.Duration, each func()) {
	for end := s.now.Add(span); s.now < end; {
		if each != nil {
			each()
		}
		for range 20 {
			s.now = s.now.Add(50 * time.Millisecond)
			s.Step(s.now, event.Tick{})
		}
	}
}

// A proxy that started while it reached only a registry cut off for 20 s served by
// what that one told, as if it were in force.
func TestEndlessLease_StartsWithFreshConfirmation(t *testing.T) {
	old, new := encodedConfiguration(t, 1), encodedConfiguration(t, 2)
	s := newControlFixture(EndlessLease)
	s.push(old, 1, 20*time.Second)
	s.run(2*time.Second, func() { s.push(nil, 1, 20*time.Second) })
	if s.leaseValid(s.now) || s.ready(s.now) {
		t.Fatal("it serves by what may be 20 s old")
	}
	// The other side is reached: it serves at once, by the newer.
	s.push(new, 2, 300*time.Millisecond)
	if !s.leaseValid(s.now) || s.view.Revision != 2 {
		t.Fatalf("it doesn't serve by revision %d", s.view.Revision)
	}
	// From then on it never stops, and never goes back.
	s.run(20*time.Second, func() { s.push(old, 1, 20*time.Second) })
	if !s.leaseValid(s.now) || s.view.Revision != 2 {
		t.Fatalf("it went back to %d", s.view.Revision)
	}
}

// An agreement of before the proxy's own start is fresh all the same: one that
// restarted with all the others served 1 s later than it could.
func TestEndlessLease_AcceptsConfirmationFromBeforeStart(t *testing.T) {
	s := newControlFixture(EndlessLease)
	s.run(50*time.Millisecond, nil)
	s.now = ids.Time(300 * time.Millisecond)
	s.push(encodedConfiguration(t, 1), 1, 1200*time.Millisecond)
	if !s.leaseValid(s.now) {
		t.Fatal("it waits for an agreement that began after its start")
	}
}

// Where no fresh agreement can be had, a proxy serves after all, and says so.
func TestEndlessLease_ServesUnconfirmedAfterDelay(t *testing.T) {
	s := newControlFixture(EndlessLease)
	raw := encodedConfiguration(t, 1)
	logged := false
	s.push(raw, 1, 20*time.Second)
	for range 100 {
		s.now = s.now.Add(50 * time.Millisecond)
		for _, c := range s.Step(s.now, event.Tick{}) {
			entry, ok := c.(event.LogEntry)
			logged = logged || ok && entry.Event == "serving_unconfirmed"
		}
		if waited := s.now.Sub(1); s.leaseValid(s.now) != (waited >= unconfirmedStartDelay) {
			t.Fatalf("in step after %s: %v", waited, s.leaseValid(s.now))
		}
	}
	if !logged {
		t.Fatal("it didn't say so")
	}
}

// A proxy that asks the stores itself knows that its configuration is in force; of the
// targets it knows no more than the registry that is cut off from them.
func TestLease_NeedsConfirmedTargets(t *testing.T) {
	s := newControlFixture(0)
	s.push(encodedConfiguration(t, 1), 1, 0)
	for range 10 {
		s.run(time.Second, func() {
			s.push(nil, 1, 1600*time.Millisecond+s.now.Sub(1))
			s.confirmConfiguration(s.now, 1, s.now) // by the stores' own word
		})
	}
	if s.leaseValid(s.now) {
		t.Fatal("it serves by targets that nobody vouches for")
	}
	s.push(nil, 1, 0)
	if !s.leaseValid(s.now) {
		t.Fatal("it doesn't serve though a registry with the lease vouches for them")
	}
}

// What an older run, or the other side of a cut, tells of a target doesn't undo
// what is newer, in whichever order it comes.
func TestPush_LateUpdateIsIgnored(t *testing.T) {
	s := newControlFixture(EndlessLease)
	s.push(encodedConfiguration(t, 1), 1, 0)
	target := targets.Target{Instance: "i", Incarnation: 1, Sequence: 5, Service: "a", Address: "10.0.0.1:80", Zone: "quay", Warmth: 1, IntervalMillis: 1000}
	leaving := target
	leaving.Sequence, leaving.Leaving = 6, true
	s.push(nil, 1, 0, leaving)
	s.push(nil, 1, 20*time.Second, target)
	if got, _ := s.targets.Get(s.now, "i"); !got.Leaving {
		t.Fatal("a target that leaves came back by a late push")
	}
}
