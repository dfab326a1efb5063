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

// controlFixture is a control machine with its time, and the pushes that it gets.
type controlFixture struct {
	*Control
	now    ids.Time
	pushes ids.StreamNumber
}

// newControlFixture is a proxy that has just started.
func newControlFixture(lease time.Duration) *controlFixture {
	return &controlFixture{Control: New(membership.Options{Self: proxyMember("p", "quay")}, ControlOptions{Lease: lease}), now: 1}
}

// push gives the proxy what a registry pushes whose last majority read is so old.
func (f *controlFixture) push(encoded []byte, revision ids.Revision, readAge time.Duration, list ...targets.Target) {
	f.pushes++
	f.Step(f.now, event.Received{From: "r", Message: distribution.Push{
		Number: f.pushes, Revision: revision, Configuration: encoded, Targets: list,
		ReadAgeMillis: uint32(readAge.Milliseconds()), EchoedTime: f.now, ProxyRunID: f.Self.RunID,
	}})
}

// run lets time pass, with a tick every tickInterval; everySecond, unless nil, is called
// at the beginning of each second.
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

// encodedConfiguration is a configuration with as many services, named from "a", as its
// revision says.
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

// proxyMember is a proxy of the given zone.
func proxyMember(id, zone string) membership.Member {
	return membership.Member{ID: ids.DaemonID(id), Role: membership.Proxy, Zone: ids.Name(zone), RunID: 1}
}

// proxiesIn is a proxy for each of the given zones, named from "c0".
func proxiesIn(zones string) []membership.Member {
	var proxies []membership.Member
	for i, zone := range strings.Fields(zones) {
		proxies = append(proxies, proxyMember(fmt.Sprintf("c%d", i), zone))
	}
	return proxies
}
