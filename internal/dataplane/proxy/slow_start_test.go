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

// The rates of all proxies to a target in slow start add up to the service's rate.
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

// All targets of a zone that is put back into use are in slow start, for the longest duration of
// the services that configure a rate.
func TestSlowStart_AfterZoneReopens(t *testing.T) {
	is := is.New(t)
	c := New(membership.Options{Self: proxyMember("a", "quay")}, ControlOptions{Lease: UnlimitedLease, SlotLayout: SlotLayout{ByZone: true, Regions: regions}})
	document, err := configuration.Decode(nil)
	is.NoErr(err)
	second := ids.Time(time.Second)
	changes := 0
	// apply applies the nth change at the nth second.
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
	is.Equal(allocation.SlowStartUntil, 6*second) // a service without a rate isn't considered
	is.Equal(allocation.SlowStartRate, 8.0)
	// The target's own slow start takes effect if it is longer.
	target.SlowStartMillis = 9000
	is.Equal(c.allocate(4*second, target, proxies).SlowStartUntil, 13*second)
	target.SlowStartMillis = 0
	is.True(c.allocate(7*second, target, proxies).SlowStartUntil <= 7*second)
	// Other zones aren't affected, and other changes don't restart the slow start.
	apply(`{"kind":"service","name":"wader","set":{"tier":3}}`)
	is.Equal(c.allocate(4*second, target, proxies).SlowStartUntil, 6*second)
	is.True(c.allocate(4*second, targets.Target{Instance: "u", Service: "wader", Zone: "dune"}, proxies).SlowStartUntil <= 4*second)
}
