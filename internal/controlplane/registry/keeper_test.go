package registry

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/distribution"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/targets"
	"dunlinwell/internal/state/consensus"
)

var testProxies = []ids.DaemonID{"p", "q", "r", "s1"}

// incrementalRegistry is one registry of three, with proxies that acknowledge all.
type incrementalRegistry struct {
	*testRegistry
	pushes, pushedTargets int
	// updates are the targets that it told the other registries of.
	updates int
}

func newIncrementalRegistry() *incrementalRegistry {
	b := &incrementalRegistry{testRegistry: newTestRegistry(true)}
	b.options.Incremental = true
	for _, n := range []ids.DaemonID{"g", "h"} {
		b.deliver(membership.Heartbeat{Self: membership.Member{ID: n, Role: membership.Registry, Address: ids.Address(n), RunID: 1, Incarnation: 1, Zone: "c"}})
	}
	for _, n := range testProxies {
		b.deliver(membership.Heartbeat{Self: membership.Member{ID: n, Role: membership.Proxy, Address: ids.Address(n), RunID: 1, Incarnation: 1, Zone: "c"}})
	}
	return b
}

// tickWithPeers lets one clock event happen, with pulses of the other two whose agreement
// is of some age.
func (b *incrementalRegistry) tickWithPeers(age time.Duration) {
	for _, n := range []ids.DaemonID{"g", "h"} {
		b.deliver(PeerHeartbeat{ID: n, RunID: 1, AgreementAgeMillis: uint32(age / time.Millisecond), TargetsDigest: b.Targets.Digest()})
	}
	b.deliver(membership.Heartbeat{Self: membership.Member{ID: "s", Role: membership.Store, Address: "10.0.0.2:1", RunID: 1, Ready: true, Incarnation: 1}})
	b.now = b.now.Add(tickEvery)
	b.step(event.Tick{})
	b.assignedProxies(b.now)
}

func (b *incrementalRegistry) deliver(msg any) { b.step(event.Received{From: "10.0.0.2:1", Msg: msg}) }

// step steps the registry, answers for its store and its proxies, and counts.
func (b *incrementalRegistry) step(ev event.Event) {
	for _, c := range b.Step(b.now, ev) {
		s, ok := c.(event.Send)
		if !ok {
			continue
		}
		switch m := s.Msg.(type) {
		case consensus.Request:
			b.deliver(consensus.Response{ID: m.ID, Outcome: consensus.Succeeded, Attempt: m.Attempt})
		case distribution.Push:
			b.pushes++
			b.pushedTargets += len(m.Targets)
			b.Step(b.now, event.Received{From: s.To, Msg: distribution.Ack{Proxy: ids.DaemonID(s.To), RunID: 1, Number: m.Number, Revision: m.Revision, Now: b.now}})
		case targets.Update:
			b.updates += len(m.Targets)
		}
	}
}

func targetAt(i int, seq ids.Sequence, keeper ids.DaemonID) targets.Target {
	return targets.Target{
		Instance: ids.InstanceID(fmt.Sprint("i", i)), Incarnation: 1, Sequence: seq, Service: "s",
		Address: ids.Address(fmt.Sprintf("10.0.1.%d:80", i+1)), Zone: "c", Warmth: 1, IntervalMillis: 1000, Registrar: keeper, RegistrarRunID: 1,
	}
}

// While the core was cut, keepers moved hundreds of times a second, and each move
// was pushed to every proxy: their links were full of it. Who keeps a target is no
// news to a proxy.
func TestRegistrarChange_IsNotPushedToProxies(t *testing.T) {
	is := is.New(t)
	b := newIncrementalRegistry()
	for i := range 50 {
		b.deliver(targets.Update{Targets: []targets.Target{targetAt(i, 1, "g")}})
	}
	for range 40 {
		b.tickWithPeers(100 * time.Millisecond)
	}
	served := len(b.assignedProxies(b.now))
	is.True(served > 0 && b.pushedTargets >= 50*served)
	b.pushes, b.pushedTargets = 0, 0
	for n := range 60 {
		keeper := []ids.DaemonID{"g", "h"}[n%2]
		for i := range 50 {
			b.deliver(targets.Update{Targets: []targets.Target{targetAt(i, ids.Sequence(n+2), keeper)}})
		}
		b.tickWithPeers(100 * time.Millisecond)
	}
	got, _ := b.Targets.Get(b.now, "i7")
	is.Equal(got.Sequence, ids.Sequence(61)) // registries do go by it
	is.Equal(b.pushedTargets, 0)
	is.True(b.pushes <= 4*served) // a word a second
	// A target that leaves is news, whoever keeps it.
	leaving := targetAt(7, 80, "h")
	leaving.Leaving = true
	b.deliver(targets.Update{Targets: []targets.Target{leaving}})
	b.tickWithPeers(100 * time.Millisecond)
	b.tickWithPeers(100 * time.Millisecond)
	is.Equal(b.pushedTargets, served)
}

// A registry whose agreement takes a little longer now and then keeps its targets
// and its proxies; one that has none for long loses them.
func TestDeliveryGroup_StableUnderSlowAgreement(t *testing.T) {
	is := is.New(t)
	b := newIncrementalRegistry()
	for range 5 {
		b.tickWithPeers(100 * time.Millisecond)
	}
	is.Equal(len(b.assignment.registries), 3)
	for range 40 {
		b.tickWithPeers(1600 * time.Millisecond)
		is.Equal(len(b.assignment.registries), 3)
		b.tickWithPeers(900 * time.Millisecond)
		is.Equal(len(b.assignment.registries), 3)
	}
	b.tickWithPeers(2600 * time.Millisecond)
	is.Equal(len(b.assignment.registries), 1)
	b.tickWithPeers(1600 * time.Millisecond) // not at once again
	is.Equal(len(b.assignment.registries), 1)
	b.tickWithPeers(500 * time.Millisecond)
	is.Equal(len(b.assignment.registries), 3)
	// And a target stays with the one that keeps it, of two that are as near.
	for _, n := range []ids.DaemonID{"f", "g", "h"} {
		is.Equal(b.registrarFor(b.now, targetAt(1, 1, n)).ID, n)
	}
}

// Copies of all targets that differ send what differs, not all there is, and end
// the same though each knows something newer.
func TestTableDigest_SendsOnlyDifferingPartitions(t *testing.T) {
	is := is.New(t)
	a, b := newIncrementalRegistry(), newIncrementalRegistry()
	for i := range 300 {
		w := targets.Update{Targets: []targets.Target{targetAt(i, 1, "g")}}
		a.deliver(w)
		b.deliver(w)
	}
	a.deliver(targets.Update{Targets: []targets.Target{targetAt(3, 2, "h")}})
	// Here the target spoke again since, and said nothing new.
	b.deliver(targets.Update{Targets: []targets.Target{targetAt(3, 9, "g")}})
	is.True(a.Targets.Digest() != b.Targets.Digest())
	sent := 0
	compare := func(x, y *incrementalRegistry) {
		for _, c := range x.Step(x.now, event.Received{From: "y", Msg: TableDigest{Parts: y.Targets.PartDigests()}}) {
			if s, ok := c.(event.Send); ok {
				if u, ok := s.Msg.(targets.Update); ok {
					sent += len(u.Targets)
					y.deliver(u)
				}
			}
		}
	}
	compare(a, b)
	compare(b, a)
	is.Equal(a.Targets.Digest(), b.Targets.Digest())
	is.True(sent < 30)
}
