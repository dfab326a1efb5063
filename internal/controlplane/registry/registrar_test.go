package registry

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/targets"
)

// targetWithRegistrar returns the numbered target as sent by its registrar.
func targetWithRegistrar(number int, sequence ids.Sequence, registrar ids.DaemonID) targets.Target {
	return targets.Target{
		Instance: ids.InstanceID(fmt.Sprint("i", number)), Incarnation: 1, Sequence: sequence, Service: "s",
		Address: ids.Address(fmt.Sprintf("10.0.1.%d:80", number+1)), Zone: "c", Warmth: 1, IntervalMillis: 1000, Registrar: registrar, RegistrarRunID: 1,
	}
}

// Regression: during a partition, registrars changed hundreds of times a second, and each
// change was pushed to every proxy although proxies don't use the registrar.
func TestRegistrarChange_IsNotPushedToProxies(t *testing.T) {
	is := is.New(t)
	const targetCount = 50
	r := newIncrementalRegistry()
	for i := range targetCount {
		r.deliver(targets.Update{Targets: []targets.Target{targetWithRegistrar(i, 1, "g")}})
	}
	for range 40 {
		r.tickWithPeers(100 * time.Millisecond)
	}
	assigned := len(r.assignedProxies(r.now))
	is.True(assigned > 0 && r.pushedTargets >= targetCount*assigned)
	r.pushes, r.pushedTargets = 0, 0
	for n := range 60 {
		registrar := peerIDs[n%2]
		for i := range targetCount {
			r.deliver(targets.Update{Targets: []targets.Target{targetWithRegistrar(i, ids.Sequence(n+2), registrar)}})
		}
		r.tickWithPeers(100 * time.Millisecond)
	}
	target, _ := r.Targets.Get(r.now, "i7")
	is.Equal(target.Sequence, ids.Sequence(61)) // merged by the registry itself
	is.Equal(r.pushedTargets, 0)
	is.True(r.pushes <= 4*assigned) // one refresh per second
	// A departure is pushed regardless of the registrar.
	leaving := targetWithRegistrar(7, 80, "h")
	leaving.Draining = true
	r.deliver(targets.Update{Targets: []targets.Target{leaving}})
	r.tickWithPeers(100 * time.Millisecond)
	r.tickWithPeers(100 * time.Millisecond)
	is.Equal(r.pushedTargets, assigned)
}
