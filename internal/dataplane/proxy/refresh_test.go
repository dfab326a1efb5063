package proxy

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
	"dunlinwell/internal/dataplane/dispatch"
)

const (
	largeClusterTargets = 420
	largeClusterProxies = 90
)

// newLargeClusterFixture returns the Control of a proxy in a large cluster that knows all targets.
func newLargeClusterFixture(t testing.TB) *controlFixture {
	t.Helper()
	f := &controlFixture{now: 1, Control: New(
		membership.Options{Self: proxyMember("p", "quay"), Incremental: true},
		ControlOptions{Lease: UnlimitedLease, SlotLayout: SlotLayout{ByZone: true}},
	)}
	var proxies []membership.Member
	for i := range largeClusterProxies {
		proxies = append(proxies, proxyMember(fmt.Sprint("proxy-", i), "quay"))
	}
	f.Step(f.now, event.Received{From: "r", Message: membership.Snapshot{Members: proxies, Final: true}})
	var list []targets.Target
	for i := range largeClusterTargets {
		list = append(list, largeClusterTarget(i))
	}
	f.push(encodedConfiguration(t, 1), 1, 0, list...)
	f.run(2*time.Second, func() { f.push(nil, 1, 0) })
	return f
}

func largeClusterTarget(i int) targets.Target {
	return targets.Target{
		Instance: ids.InstanceID(fmt.Sprint("t", i)), Incarnation: 1, Sequence: 1, Service: "a",
		Address: ids.Address(fmt.Sprintf("10.0.%d.%d:80", i/200, i%200+1)), Zone: "quay", Capacity: 6, Warmth: 1,
	}
}

// refreshCounter steps a Control and records its refreshes and acknowledgements.
type refreshCounter struct {
	*controlFixture
	refreshes    int
	acknowledged []ids.StreamNumber
	// allocations is the number of targets that the last refresh sent to a dispatcher.
	allocations int
}

func (c *refreshCounter) step(ev event.Event) {
	refreshed := false
	for _, command := range c.Step(c.now, ev) {
		switch command := command.(type) {
		case DispatchEvent:
			if state, ok := command.Event.(dispatch.ServiceState); ok {
				refreshed, c.allocations = true, len(state.Targets)
			}
		case event.Send:
			if ack, ok := command.Message.(distribution.Ack); ok {
				c.acknowledged = append(c.acknowledged, ack.Number)
			}
		}
	}
	if refreshed {
		c.refreshes++
	}
}

// Guards against a refresh for every push of a burst, as when many targets fail at once. The
// refreshes would delay later messages by seconds.
func TestRefresh_PushBurstIsBatched(t *testing.T) {
	is := is.New(t)
	c := &refreshCounter{controlFixture: newLargeClusterFixture(t)}
	const deadTargets = 64
	before, first := c.now, c.pushes+1
	for i := range deadTargets {
		c.now = c.now.Add(time.Millisecond)
		c.pushes++
		target := largeClusterTarget(i)
		target.Dead, target.Sequence = true, 2
		c.step(event.Received{From: "r", Message: distribution.Push{
			Number: c.pushes, Revision: 1, Targets: []targets.Target{target}, EchoedTime: c.now, ProxyRunID: c.Self.RunID,
		}})
	}
	for len(c.acknowledged) < deadTargets && c.now.Sub(before) < 5*time.Second {
		c.now = c.now.Add(50 * time.Millisecond)
		c.step(event.Tick{})
	}
	t.Logf("%d pushes caused %d refreshes, and were acknowledged after %s", deadTargets, c.refreshes, c.now.Sub(before))
	is.True(c.refreshes <= 3)
	is.True(c.now.Sub(before) <= maxRefreshInterval+150*time.Millisecond)
	is.Equal(len(c.acknowledged), deadTargets)
	for i, number := range c.acknowledged {
		is.Equal(number, first+ids.StreamNumber(i))
	}
	is.True(c.allocations <= largeClusterTargets-deadTargets)
}

// In a small cluster refreshes are cheap and aren't delayed.
func TestRefresh_SmallClusterIsImmediate(t *testing.T) {
	is := is.New(t)
	f := newControlFixture(DefaultLease)
	f.push(encodedConfiguration(t, 1), 1, 0)
	for i := range 10 {
		f.now = f.now.Add(time.Millisecond)
		f.push(nil, 1, 0, largeClusterTarget(i))
		is.Equal(len(f.unacknowledged), 0)
	}
}
