package registry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/targets"
	"dunlinwell/internal/state/consensus"
)

const tickEvery = 50 * time.Millisecond

// testRegistry is one registry with a store that answers until it is cut off.
type testRegistry struct {
	*Registry
	now         ids.Time
	partitioned bool
	status      map[uint64]int
}

func newTestRegistry(thrifty bool) *testRegistry {
	self := membership.Member{ID: "f", Role: membership.Registry, Address: "10.0.0.1:1", RunID: 1, Zone: "c"}
	f := New(Options{
		Options: membership.Options{Self: self, Seeds: []ids.Address{"10.0.0.2:1"}},
		Random:  rand.New(rand.NewPCG(1, 1)), Incremental: thrifty,
	})
	b := &testRegistry{Registry: f, now: 1, status: map[uint64]int{}}
	return b
}

func (b *testRegistry) step(ev event.Event) {
	for _, c := range b.Step(b.now, ev) {
		switch c := c.(type) {
		case event.Send:
			if a, ok := c.Msg.(consensus.Request); ok && !b.partitioned {
				b.deliver(consensus.Response{ID: a.ID, Outcome: consensus.Succeeded, Attempt: a.Attempt})
			}
		case Response:
			b.status[c.ID] = c.Status
		}
	}
}

func (b *testRegistry) deliver(msg any) { b.step(event.Received{From: "10.0.0.2:1", Msg: msg}) }

// run lets time pass; another registry's news of a target comes meanwhile.
func (b *testRegistry) run(for_ time.Duration, news func(ids.Sequence) targets.Target) {
	for end := b.now.Add(for_); b.now < end; b.now = b.now.Add(tickEvery) {
		if news != nil {
			b.deliver(targets.Update{Targets: []targets.Target{news(ids.Sequence(b.now))}})
		}
		if !b.partitioned {
			// Each beat refutes what may have been said of it meanwhile.
			b.deliver(membership.Heartbeat{Self: membership.Member{
				ID: "s", Role: membership.Store, Address: "10.0.0.2:1", RunID: 1, Ready: true,
				Incarnation: ids.Incarnation(b.now),
			}})
		}
		b.step(event.Tick{})
	}
}

func remoteTarget(seq ids.Sequence) targets.Target {
	return targets.Target{Instance: "i", Incarnation: 1, Sequence: seq, Service: "s", Address: "10.0.1.1:80", Zone: "c", Warmth: 1, IntervalMillis: 1000}
}

// The core was cut in two while proxies and targets reached both sides. Each
// side counted the targets that called on the other as gone, proxies believed
// both, and soon every target was gone.
func TestIsolatedRegistry_ExpiresNoTarget(t *testing.T) {
	for _, thrifty := range []bool{true, false} {
		is := is.New(t)
		b := newTestRegistry(thrifty)
		b.run(3*time.Second, remoteTarget)
		b.partitioned = true
		b.run(10*time.Second, nil)
		got, ok := b.Targets.Get(b.now, "i")
		is.True(ok)
		is.True(!got.Gone)
		// Back with its majority it counts anew, and does judge.
		b.partitioned = false
		b.run(2500*time.Millisecond, nil)
		got, _ = b.Targets.Get(b.now, "i")
		is.True(!got.Gone)
		b.run(2*time.Second, nil)
		got, _ = b.Targets.Get(b.now, "i")
		is.True(got.Gone)
	}
}

// A target that calls on a registry apart is unknown to the others: its word is
// taken, and it is sent on to one that can hand it on.
func TestIsolatedRegistry_RedirectsTargets(t *testing.T) {
	is := is.New(t)
	b := newTestRegistry(true)
	b.run(time.Second, nil)
	b.step(HeartbeatCall{ID: 1, Target: remoteTarget(1)})
	is.Equal(b.status[1], 200)
	b.partitioned = true
	b.run(2*time.Second, nil)
	b.step(HeartbeatCall{ID: 2, Target: remoteTarget(2)})
	is.Equal(b.status[2], 503)
	is.Equal(b.Targets.LatestSequence("i"), ids.Sequence(2))
	// A target that leaves is heard all the same, as the proxies here must know;
	// but it isn't told that this holds everywhere, and calls on another.
	leaving := remoteTarget(3)
	leaving.Leaving = true
	b.step(HeartbeatCall{ID: 3, Target: leaving})
	b.run(time.Second, nil)
	is.Equal(b.status[3], 503)
	got, ok := b.Targets.Get(b.now, "i")
	is.True(ok && got.Leaving)
	b.partitioned = false
	b.run(2*time.Second, nil)
	b.step(HeartbeatCall{ID: 4, Target: remoteTarget(4)})
	is.Equal(b.status[4], 200)
}

// A registry that started before it knew any store asked nobody, and asked
// again only after a try's whole span: a fleet's way back hung on that.
func TestPollConfiguration_StartsOnceStoreIsKnown(t *testing.T) {
	is := is.New(t)
	b := newTestRegistry(true)
	b.partitioned = true
	b.run(3*tickEvery, nil)
	is.Equal(b.lease.agreedAt, ids.Time(0))
	b.partitioned = false
	b.run(2*tickEvery, nil)
	is.True(b.lease.agreedAt != 0)
}
