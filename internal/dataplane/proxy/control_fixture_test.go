package proxy

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/distribution"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/targets"
	"dunlinwell/internal/state/configuration"
)

// controlFixture is a Control with a simulated clock and the number of its last push.
type controlFixture struct {
	*Control
	now    ids.Time
	pushes ids.StreamNumber
}

// newControlFixture returns the Control of a proxy that has just started.
func newControlFixture(lease time.Duration) *controlFixture {
	return &controlFixture{Control: New(membership.Options{Self: proxyMember("p", "quay")}, ControlOptions{Lease: lease}), now: 1}
}

// push delivers the push of a registry whose last quorum read has the given age.
func (f *controlFixture) push(encoded []byte, revision ids.Revision, readAge time.Duration, list ...targets.Target) {
	f.pushes++
	f.Step(f.now, event.Received{From: "r", Message: distribution.Push{
		Number: f.pushes, Revision: revision, Configuration: encoded, Targets: list,
		ReadAgeMillis: uint32(readAge.Milliseconds()), EchoedTime: f.now, ProxyRunID: f.Self.RunID,
	}})
}

// run advances the clock, with a tick every tickInterval. It calls everySecond, unless nil, at
// the beginning of each second.
func (f *controlFixture) run(span time.Duration, everySecond func()) {
	for end := f.now.Add(span); f.now < end; {
		if everySecond != nil {
			everySecond()
		}
		for range 20 {
			f.now = f.now.Add(50 * time.Millisecond)
			f.Step(f.now, event.Tick{})
		}
	}
}

// encodedConfiguration returns a configuration of the given revision, which also is its number
// of services. These are named "a", "b" and so on.
func encodedConfiguration(t testing.TB, revision int) []byte {
	t.Helper()
	document, err := configuration.Decode(nil)
	if err != nil {
		t.Fatal(err)
	}
	for i := range revision {
		service := configuration.VersionedItem{Kind: "service", Name: ids.Name(string(rune('a' + i))), Version: 1, Body: []byte("{}")}
		document, _ = document.Merge(configuration.Merge{Items: []configuration.VersionedItem{service}})
	}
	return document.Encode(false)
}

// proxyMember returns a proxy in the given zone.
func proxyMember(id, zone string) membership.Member {
	return membership.Member{ID: ids.DaemonID(id), Role: membership.Proxy, Zone: ids.Name(zone), RunID: 1}
}

// proxiesIn returns a proxy for each of the space-separated zones, named "c0", "c1" and so on.
func proxiesIn(zones string) []membership.Member {
	var proxies []membership.Member
	for i, zone := range strings.Fields(zones) {
		proxies = append(proxies, proxyMember(fmt.Sprintf("c%d", i), zone))
	}
	return proxies
}
