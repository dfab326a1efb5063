package proxy

import (
	"fmt"
	"math/rand/v2"
	"strings"
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

func member(id, zone string) membership.Member {
	return membership.Member{ID: ids.DaemonID(id), Role: membership.Proxy, Zone: ids.Name(zone), RunID: 1}
}

func newZoneControl(self membership.Member, sv configuration.Service) *Control {
	c := New(membership.Options{Self: self}, ControlOptions{Lease: EndlessLease, SlotLayout: SlotLayout{ByZone: true, Regions: regions}})
	c.view.Services = map[ids.Name]configuration.Service{"wader": sv}
	return c
}

// countForwarded counts how many of many requests a dispatcher with this one offer lets go at once.
func countForwarded(o dispatch.Allocation, now ids.Time) int {
	d := dispatch.New(dispatch.Options{Random: rand.New(rand.NewPCG(1, 2)), QueueLimit: 1000})
	d.Step(now, dispatch.ServiceState{Targets: []dispatch.Allocation{o}, IsCurrent: true, LeaseExpiresAt: now.Add(time.Hour), Terms: map[ids.Name]dispatch.RouteTerms{"r": {}}})
	n := 0
	for i := range 200 {
		for _, c := range d.Step(now, dispatch.RequestArrived{Job: dispatch.Job{ID: ids.RequestID(i + 1), Route: "r", Repeatable: true, Deadline: now.Add(time.Hour)}}) {
			if _, ok := c.(dispatch.Forward); ok {
				n++
			}
		}
	}
	return n
}

// The fleet's sum at a target is bounded however many proxies there are: its
// places once for each of the three circles that has proxies, and twice in the
// first where two or more may use what the others leave.
func TestSlots_ZoneSharesAddUp(t *testing.T) {
	is := is.New(t)
	const capacity = 7
	now := ids.Time(time.Second)
	for zones, want := range map[string]int{
		"quay":                          capacity,
		"quay quay":                     2 * capacity,
		"quay quay quay":                2 * capacity,
		"quay pier":                     2 * capacity,
		"quay quay pier mole dune reed": 4 * capacity,
		"pier":                          capacity,     // no proxy in its zone: the region's has its places
		"pier mole":                     2 * capacity, // as have two of the region's
		"pier dune":                     2 * capacity,
		"dune":                          capacity,
		"dune reed reed":                2 * capacity,
		"quay quay quay quay quay quay quay quay quay quay quay quay quay quay quay": 2 * capacity,
	} {
		seats := proxiesIn(zones)
		for n := range 4 {
			target := targets.Target{Instance: ids.InstanceID(fmt.Sprint("t", n)), Service: "wader", Zone: "quay", Capacity: capacity, Warmth: 1, AgeMillis: 1e9}
			sum := 0
			for _, m := range seats {
				sum += countForwarded(newZoneControl(m, configuration.Service{}).allocate(now, target, seats), now)
			}
			is.Equal(sum, want)
		}
	}
}

func proxiesIn(zones string) []membership.Member {
	var seats []membership.Member
	for i, zone := range strings.Fields(zones) {
		seats = append(seats, member(fmt.Sprintf("c%d", i), zone))
	}
	return seats
}

// Odd places fall to different proxies for different targets.
func TestSlots_RemainderIsSpread(t *testing.T) {
	is := is.New(t)
	seats := proxiesIn("quay quay quay")
	got := map[ids.DaemonID]int{}
	for n := range 60 {
		target := targets.Target{Instance: ids.InstanceID(fmt.Sprint("t", n)), Service: "wader", Zone: "quay"}
		for _, m := range seats {
			if newZoneControl(m, configuration.Service{}).allocate(1, target, seats).SlotShareIndex == 0 {
				got[m.ID]++
			}
		}
	}
	is.Equal(got["c0"]+got["c1"]+got["c2"], 60)
	for _, n := range got {
		is.True(n > 5)
	}
}

// A lost proxy's places stay its own for a while, as it may still use them.
func TestSlotHolders_LostProxyKeepsShare(t *testing.T) {
	is := is.New(t)
	self, other := member("a", "quay"), member("b", "quay")
	c := newZoneControl(self, configuration.Service{})
	now := ids.Time(time.Second)
	join := func(m membership.Member) {
		c.List.Receive(now, "x", membership.Snapshot{Members: []membership.Member{m}, Final: true})
	}
	is.Equal(len(c.slotHolders(now)), 1)
	other.Incarnation = 5
	join(other)
	is.Equal(len(c.slotHolders(now)), 2)
	other.Gone = true
	join(other)
	is.Equal(len(c.slotHolders(now.Add(lostProxyHoldTime-time.Millisecond))), 2)
	is.Equal(len(c.slotHolders(now.Add(lostProxyHoldTime))), 1)
	// Others than proxies have no seat.
	join(membership.Member{ID: "f", Role: membership.Registry, Zone: "quay", RunID: 1, Incarnation: 1})
	is.Equal(len(c.slotHolders(now.Add(lostProxyHoldTime))), 1)
}

// What all proxies together may send to a cold target is its rate, once.
func TestSlowStart_RatesAddUp(t *testing.T) {
	is := is.New(t)
	now := ids.Time(time.Second)
	for _, zones := range []string{"quay", "quay quay quay", "quay pier dune", "pier mole dune", "dune reed"} {
		seats, sum := proxiesIn(zones), 0.0
		for _, m := range seats {
			o := newZoneControl(m, configuration.Service{SlowStartRate: 12}).allocate(now, targets.Target{Instance: "t", Service: "wader", Zone: "quay", SlowStartMillis: 3000}, seats)
			is.Equal(o.SlowStartUntil, now.Add(3*time.Second))
			sum += o.SlowStartRate
		}
		is.True(sum > 11.99 && sum < 12.01)
	}
}

// Targets of a zone that is taken back into use may have gone cold meanwhile: they
// count as such for the longest that any of them stays so.
func TestSlowStart_AfterZoneReopens(t *testing.T) {
	is := is.New(t)
	c := New(membership.Options{Self: member("a", "quay")}, ControlOptions{Lease: EndlessLease, SlotLayout: SlotLayout{ByZone: true, Regions: regions}})
	p, err := configuration.Decode(nil)
	is.NoErr(err)
	n := 0
	apply := func(part string) {
		n++
		ch, faults := configuration.ReadChange([]byte(fmt.Sprintf(`{"id":"%d","changes":[%s]}`, n, part)))
		is.Equal(len(faults), 0)
		var r configuration.Result
		p, r = p.Apply(ch)
		is.True(r.Accepted())
		c.adoptConfiguration(ids.Time(n)*ids.Time(time.Second), p.Encode(false))
	}
	second := ids.Time(time.Second)
	apply(`{"kind":"service","name":"wader","put":{"warm_rate":8,"warm_ms":3000}},{"kind":"service","name":"plover","put":{"warm_ms":60000}}`)
	target := targets.Target{Instance: "t", Service: "wader", Zone: "quay"}
	seats := proxiesIn("quay")
	seats[0].ID = "a"
	is.True(c.allocate(second, target, seats).SlowStartUntil <= second)
	apply(`{"kind":"cell","name":"quay","put":{"region":"west","shut":true}}`)
	is.True(c.allocate(2*second, target, seats).ZoneDrained)
	apply(`{"kind":"cell","name":"quay","put":{"region":"west","shut":false}}`)
	o := c.allocate(3*second, target, seats)
	is.True(!o.ZoneDrained)
	is.Equal(o.SlowStartUntil, 6*second) // not the minute of a service that has no rate
	is.Equal(o.SlowStartRate, 8.0)
	// Its own word counts where it is the longer one.
	target.SlowStartMillis = 9000
	is.Equal(c.allocate(4*second, target, seats).SlowStartUntil, 13*second)
	target.SlowStartMillis = 0
	is.True(c.allocate(7*second, target, seats).SlowStartUntil <= 7*second)
	// Another zone's targets are as they were, and a change beside it thaws nothing anew.
	apply(`{"kind":"service","name":"wader","set":{"tier":3}}`)
	is.Equal(c.allocate(4*second, target, seats).SlowStartUntil, 6*second)
	is.True(c.allocate(4*second, targets.Target{Instance: "u", Service: "wader", Zone: "dune"}, seats).SlowStartUntil <= 4*second)
}
