package proxy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/targets"
	"dunlinwell/internal/dataplane/dispatch"
	"dunlinwell/internal/state/configuration"
)

var regions = map[ids.Name]string{"quay": "west", "pier": "west", "mole": "west", "dune": "east", "reed": "east"}

// newZoneControl returns a Control with SlotLayout.ByZone and the single service "wader".
func newZoneControl(self membership.Member, service configuration.Service) *Control {
	c := New(membership.Options{Self: self}, ControlOptions{Lease: UnlimitedLease, SlotLayout: SlotLayout{ByZone: true, Regions: regions}})
	c.view.Services = map[ids.Name]configuration.Service{"wader": service}
	return c
}

// countForwarded returns how many of 200 requests a dispatcher with a single allocation forwards
// immediately.
func countForwarded(allocation dispatch.Allocation, now ids.Time) int {
	d := dispatch.New(dispatch.Options{Random: rand.New(rand.NewPCG(1, 2)), QueueLimit: 1000})
	d.Step(now, dispatch.ServiceState{Targets: []dispatch.Allocation{allocation}, IsCurrent: true, LeaseExpiresAt: now.Add(time.Hour), RouteRules: map[ids.Name]dispatch.RouteRules{"r": {}}})
	forwarded := 0
	for i := range 200 {
		for _, c := range d.Step(now, dispatch.RequestArrived{Job: dispatch.Job{ID: ids.RequestID(i + 1), Route: "r", Repeatable: true, Deadline: now.Add(time.Hour)}}) {
			if _, ok := c.(dispatch.Forward); ok {
				forwarded++
			}
		}
	}
	return forwarded
}

// The number of requests that all proxies together send to a target is limited: its slots for each
// class that has proxies, and twice the slots for the nearest class if it has several.
func TestSlots_ZoneSharesAddUp(t *testing.T) {
	const capacity = 7
	now := ids.Time(time.Second)
	for zones, want := range map[string]int{
		"quay":                          capacity,
		"quay quay":                     2 * capacity,
		"quay quay quay":                2 * capacity,
		"quay pier":                     2 * capacity,
		"quay quay pier mole dune reed": 4 * capacity,
		"pier":                          capacity,     // no proxy in the target's zone: the region is nearest
		"pier mole":                     2 * capacity, // two proxies in the nearest class
		"pier dune":                     2 * capacity,
		"dune":                          capacity,
		"dune reed reed":                2 * capacity,
		"quay quay quay quay quay quay quay quay quay quay quay quay quay quay quay": 2 * capacity,
	} {
		t.Run(zones, func(t *testing.T) {
			is := is.New(t)
			proxies := proxiesIn(zones)
			for n := range 4 {
				target := targets.Target{Instance: ids.InstanceID(fmt.Sprint("t", n)), Service: "wader", Zone: "quay", Capacity: capacity, Warmth: 1, AgeMillis: 1e9}
				sum := 0
				for _, proxy := range proxies {
					sum += countForwarded(newZoneControl(proxy, configuration.Service{}).allocate(now, target, proxies), now)
				}
				is.Equal(sum, want)
			}
		})
	}
}

// The remainders of the division of slots are spread over the proxies.
func TestSlots_RemainderIsSpread(t *testing.T) {
	is := is.New(t)
	proxies := proxiesIn("quay quay quay")
	firstShares := map[ids.DaemonID]int{}
	for n := range 60 {
		target := targets.Target{Instance: ids.InstanceID(fmt.Sprint("t", n)), Service: "wader", Zone: "quay"}
		for _, proxy := range proxies {
			if newZoneControl(proxy, configuration.Service{}).allocate(1, target, proxies).SlotShareIndex == 0 {
				firstShares[proxy.ID]++
			}
		}
	}
	is.Equal(firstShares["c0"]+firstShares["c1"]+firstShares["c2"], 60)
	for _, n := range firstShares {
		is.True(n > 5)
	}
}

// A failed proxy keeps its share for lostProxyHoldTime, as it may still use it.
func TestSlotHolders_LostProxyKeepsShare(t *testing.T) {
	is := is.New(t)
	self, other := proxyMember("a", "quay"), proxyMember("b", "quay")
	c := newZoneControl(self, configuration.Service{})
	now := ids.Time(time.Second)
	join := func(m membership.Member) {
		c.List.Receive(now, "x", membership.Snapshot{Members: []membership.Member{m}, Final: true})
	}
	is.Equal(len(c.slotHolders(now)), 1)
	other.Incarnation = 5
	join(other)
	is.Equal(len(c.slotHolders(now)), 2)
	other.Dead = true
	join(other)
	is.Equal(len(c.slotHolders(now.Add(lostProxyHoldTime-time.Millisecond))), 2)
	is.Equal(len(c.slotHolders(now.Add(lostProxyHoldTime))), 1)
	// Daemons other than proxies have no share.
	join(membership.Member{ID: "f", Role: membership.Registry, Zone: "quay", RunID: 1, Incarnation: 1})
	is.Equal(len(c.slotHolders(now.Add(lostProxyHoldTime))), 1)
}
