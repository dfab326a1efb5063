package proxy

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/targets"
	"dunlinwell/internal/state/configuration"
)

// What all proxies together may send to a target in slow start is its rate, once.
func TestSlowStart_RatesAddUp(t *testing.T) {
	is := is.New(t)
	now := ids.Time(time.Second)
	for _, zones := range []string{"quay", "quay quay quay", "quay pier dune", "pier mole dune", "dune reed"} {
		proxies, sum := proxiesIn(zones), 0.0
		target := targets.Target{Instance: "t", Service: "wader", Zone: "quay", SlowStartMillis: 3000}
		for _, proxy := range proxies {
			allocation := newZoneControl(proxy, configuration.Service{SlowStartRate: 12}).allocate(now, target, proxies)
			is.Equal(allocation.SlowStartUntil, now.Add(3*time.Second))
			sum += allocation.SlowStartRate
		}
		is.True(sum > 11.99 && sum < 12.01)
	}
}

// Targets of a zone that is taken back into use may have gone cold meanwhile: all are in
// slow start for the longest that any service configures.
func TestSlowStart_AfterZoneReopens(t *testing.T) {
	is := is.New(t)
	c := New(membership.Options{Self: proxyMember("a", "quay")}, ControlOptions{Lease: EndlessLease, SlotLayout: SlotLayout{ByZone: true, Regions: regions}})
	document, err := configuration.Decode(nil)
	is.NoErr(err)
	second := ids.Time(time.Second)
	changes := 0
	// The nth change takes effect at the nth second.
	apply := func(changed string) {
		t.Helper()
		changes++
		change, violations := configuration.ReadChange([]byte(fmt.Sprintf(`{"id":"%d","changes":[%s]}`, changes, changed)))
		is.Equal(len(violations), 0)
		var result configuration.Result
		document, result = document.Apply(change)
		is.True(result.Accepted())
		c.adoptConfiguration(ids.Time(changes)*second, document.Encode(false))
	}
	apply(`{"kind":"service","name":"wader","put":{"warm_rate":8,"warm_ms":3000}},{"kind":"service","name":"plover","put":{"warm_ms":60000}}`)
	target := targets.Target{Instance: "t", Service: "wader", Zone: "quay"}
	proxies := []membership.Member{proxyMember("a", "quay")}
	is.True(c.allocate(second, target, proxies).SlowStartUntil <= second)
	apply(`{"kind":"cell","name":"quay","put":{"region":"west","shut":true}}`)
	is.True(c.allocate(2*second, target, proxies).ZoneDrained)
	apply(`{"kind":"cell","name":"quay","put":{"region":"west","shut":false}}`)
	allocation := c.allocate(3*second, target, proxies)
	is.True(!allocation.ZoneDrained)
	is.Equal(allocation.SlowStartUntil, 6*second) // not the minute of a service that has no rate
	is.Equal(allocation.SlowStartRate, 8.0)
	// What the target itself reports counts if it is longer.
	target.SlowStartMillis = 9000
	is.Equal(c.allocate(4*second, target, proxies).SlowStartUntil, 13*second)
	target.SlowStartMillis = 0
	is.True(c.allocate(7*second, target, proxies).SlowStartUntil <= 7*second)
	// Another zone's targets are as they were, and another change starts nothing anew.
	apply(`{"kind":"service","name":"wader","set":{"tier":3}}`)
	is.Equal(c.allocate(4*second, target, proxies).SlowStartUntil, 6*second)
	is.True(c.allocate(4*second, targets.Target{Instance: "u", Service: "wader", Zone: "dune"}, proxies).SlowStartUntil <= 4*second)
}
