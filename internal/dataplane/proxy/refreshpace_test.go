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
	stormTargets = 420
	stormProxies = 90
)

// newStormFixture is a proxy of a large fleet that knows all targets.
func newStormFixture(t *testing.T) *controlFixture {
	t.Helper()
	s := &controlFixture{Control: New(membership.Options{Self: member("p", "quay"), Incremental: true}, ControlOptions{Lease: EndlessLease, SlotLayout: SlotLayout{ByZone: true}}), now: 1}
	var fleet []membership.Member
	for i := range stormProxies {
		fleet = append(fleet, member(fmt.Sprint("proxy-", i), "quay"))
	}
	s.Step(s.now, event.Received{From: "r", Msg: membership.Snapshot{Members: fleet, Final: true}})
	var list []targets.Target
	for i := range stormTargets {
		list = append(list, stormTarget(i))
	}
	s.push(encodedConfiguration(t, 1), 1, 0, list...)
	s.run(2*time.Second, func() { s.push(nil, 1, 0) })
	return s
}

func stormTarget(i int) targets.Target {
	return targets.Target{
		Instance: ids.InstanceID(fmt.Sprint("t", i)), Incarnation: 1, Sequence: 1, Service: "a",
		Address: ids.Address(fmt.Sprintf("10.0.%d.%d:80", i/200, i%200+1)), Zone: "quay", Capacity: 6, Warmth: 1,
	}
}

// A seventh of all targets falls silent at once, and registries tell of them one
// by one. Each push had all targets weighed against all proxies: 64 times, 31 ms
// of a whole core each. What was pushed next was read seconds later.
func TestRefresh_PushStormIsBatched(t *testing.T) {
	is := is.New(t)
	s := newStormFixture(t)
	const gone = 64
	refreshes := 0
	var acknowledged []ids.StreamNumber
	offered := 0
	step := func(ev event.Event) {
		refreshed := false
		for _, c := range s.Step(s.now, ev) {
			switch c := c.(type) {
			case DispatchEvent:
				if stock, ok := c.Event.(dispatch.ServiceState); ok {
					refreshed, offered = true, len(stock.Targets)
				}
			case event.Send:
				if ack, ok := c.Msg.(distribution.Ack); ok {
					acknowledged = append(acknowledged, ack.Number)
				}
			}
		}
		if refreshed {
			refreshes++
		}
	}
	before, first := s.now, s.pushes+1
	for i := range gone {
		s.now = s.now.Add(time.Millisecond)
		s.pushes++
		target := stormTarget(i)
		target.Gone, target.Sequence = true, 2
		step(event.Received{From: "r", Msg: distribution.Push{Number: s.pushes, Revision: 1, Targets: []targets.Target{target}, EchoedTime: s.now, ProxyRunID: s.Self.RunID}})
	}
	for len(acknowledged) < gone && s.now.Sub(before) < 5*time.Second {
		s.now = s.now.Add(50 * time.Millisecond)
		step(event.Tick{})
	}
	t.Logf("%d pushes were weighed in %d refreshes, and acknowledged after %s", gone, refreshes, s.now.Sub(before))
	is.True(refreshes <= 3)
	is.True(s.now.Sub(before) <= maxRefreshInterval+150*time.Millisecond)
	is.Equal(len(acknowledged), gone)
	for i, n := range acknowledged {
		is.Equal(n, first+ids.StreamNumber(i))
	}
	is.True(offered <= stormTargets-gone)
}

// In a small fleet a refresh costs next to nothing, and news never waits.
func TestRefresh_SmallFleetIsImmediate(t *testing.T) {
	is := is.New(t)
	s := newControlFixture(DefaultLease)
	s.push(encodedConfiguration(t, 1), 1, 0)
	for i := range 10 {
		s.now = s.now.Add(time.Millisecond)
		s.push(nil, 1, 0, stormTarget(i))
		is.Equal(len(s.unacknowledged), 0)
	}
}
