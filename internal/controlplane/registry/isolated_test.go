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

// bench is one registry with a store that answers until it is cut off.
type bench struct {
	*Registry
	now    ids.Time
	cut    bool
	status map[uint64]int
}

func newBench(thrifty bool) *bench {
	self := membership.Member{ID: "f", Role: membership.Registry, Address: "10.0.0.1:1", RunID: 1, Zone: "c"}
	f := New(Options{
		Options: membership.Options{Self: self, Seeds: []ids.Address{"10.0.0.2:1"}},
		Random:  rand.New(rand.NewPCG(1, 1)), Incremental: thrifty,
	})
	b := &bench{Registry: f, now: 1, status: map[uint64]int{}}
	return b
}

func (b *bench) step(ev event.Event) {
	for _, c := range b.Step(b.now, ev) {
		switch c := c.(type) {
		case event.Send:
			if a, ok := c.Msg.(consensus.Request); ok && !b.cut {
				b.hear(consensus.Response{ID: a.ID, Outcome: consensus.Succeeded, Attempt: a.Attempt})
			}
		case Response:
			b.status[c.ID] = c.Status
		}
	}
}

func (b *bench) hear(msg any) { b.step(event.Received{From: "10.0.0.2:1", Msg: msg}) }

// run lets time pass; another registry's news of a target comes meanwhile.
func (b *bench) run(for_ time.Duration, news func(ids.Sequence) targets.Target) {
	for end := b.now.Add(for_); b.now < end; b.now = b.now.Add(tickEvery) {
		if news != nil {
			b.hear(targets.Update{List: []targets.Target{news(ids.Sequence(b.now))}})
		}
		if !b.cut {
			// Each beat refutes what may have been said of it meanwhile.
			b.hear(membership.Heartbeat{Self: membership.Member{
				ID: "s", Role: membership.Store, Address: "10.0.0.2:1", RunID: 1, Ready: true,
				Incarnation: ids.Incarnation(b.now),
			}})
		}
		b.step(event.Tick{})
	}
}

func elsewhere(seq ids.Sequence) targets.Target {
	return targets.Target{Instance: "i", Incarnation: 1, Sequence: seq, Service: "s", Address: "10.0.1.1:80", Zone: "c", Warmth: 1, Interval: 1000}
}

// The core was cut in two while proxies and targets reached both sides. Each
// side counted the targets that called on the other as gone, proxies believed
// both, and soon every target was gone.
func TestARegistryApartCountsNoTargetAsGone(t *testing.T) {
	for _, thrifty := range []bool{true, false} {
		is := is.New(t)
		b := newBench(thrifty)
		b.run(3*time.Second, elsewhere)
		b.cut = true
		b.run(10*time.Second, nil)
		got, ok := b.Targets.Get(b.now, "i")
		is.True(ok)
		is.True(!got.Gone)
		// Back with its majority it counts anew, and does judge.
		b.cut = false
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
func TestARegistryApartSendsTargetsOn(t *testing.T) {
	is := is.New(t)
	b := newBench(true)
	b.run(time.Second, nil)
	b.step(HeartbeatCall{ID: 1, Target: elsewhere(1)})
	is.Equal(b.status[1], 200)
	b.cut = true
	b.run(2*time.Second, nil)
	b.step(HeartbeatCall{ID: 2, Target: elsewhere(2)})
	is.Equal(b.status[2], 503)
	is.Equal(b.Targets.Newest("i"), ids.Sequence(2))
	// A target that leaves is heard all the same, as the proxies here must know;
	// but it isn't told that this holds everywhere, and calls on another.
	leaving := elsewhere(3)
	leaving.Leaving = true
	b.step(HeartbeatCall{ID: 3, Target: leaving})
	b.run(time.Second, nil)
	is.Equal(b.status[3], 503)
	got, ok := b.Targets.Get(b.now, "i")
	is.True(ok && got.Leaving)
	b.cut = false
	b.run(2*time.Second, nil)
	b.step(HeartbeatCall{ID: 4, Target: elsewhere(4)})
	is.Equal(b.status[4], 200)
}

// A registry that started before it knew any store asked nobody, and asked
// again only after a try's whole span: a fleet's way back hung on that.
func TestARegistryReadsAsSoonAsItKnowsAStore(t *testing.T) {
	is := is.New(t)
	b := newBench(true)
	b.cut = true
	b.run(3*tickEvery, nil)
	is.Equal(b.agreed, ids.Time(0))
	b.cut = false
	b.run(2*tickEvery, nil)
	is.True(b.agreed != 0)
}
