package registry_test

import (
	"fmt"
	"testing"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/registry"
	"dunlinwell/internal/controlplane/registry/registrytest"
	"dunlinwell/internal/controlplane/targets"
	"dunlinwell/internal/state/configuration"
)

// callCase constructs one kind of call.
type callCase struct {
	name    string
	newCall func(id uint64) event.Event
}

// serviceChange is the format of a change that adds a service; its argument is the change ID.
const serviceChange = `{"id":%q,"changes":[{"kind":"service","name":"s","put":{}}]}`

// knownTarget is the target that setUp registers.
const knownTarget ids.InstanceID = "known"

func change(raw string) func(uint64) event.Event {
	return func(id uint64) event.Event { return registry.ChangeCall{ID: id, Raw: []byte(raw)} }
}

func heartbeat(edit func(*targets.Target)) func(uint64) event.Event {
	return func(id uint64) event.Event {
		target := targets.Target{Instance: "i", Incarnation: 1, Sequence: 9, Service: "s", Address: "10.0.1.1:80", Zone: "c", Warmth: 1, IntervalMillis: 1000}
		edit(&target)
		return registry.HeartbeatCall{ID: id, Target: target}
	}
}

func deregister(instance ids.InstanceID) func(uint64) event.Event {
	return func(id uint64) event.Event { return registry.DeregisterCall{ID: id, Instance: instance} }
}

var calls = []callCase{
	{"change", change(fmt.Sprintf(serviceChange, "new"))},
	{"change of a stale version", change(`{"id":"old","changes":[{"kind":"service","name":"s","version":77,"put":{}}]}`)},
	{"change of a missing item", change(`{"id":"none","changes":[{"kind":"service","name":"no","remove":true}]}`)},
	{"evacuation", change(`{"id":"e","changes":[{"kind":"cell","name":"c","put":{"region":"r","shut":true}}]}`)},
	{"malformed change", change(`{`)},
	{"merge", func(id uint64) event.Event { return registry.MergeCall{ID: id, Body: configuration.Merge{}} }},
	{"read", func(id uint64) event.Event { return registry.ReadConfigurationCall{ID: id} }},
	{"local read", func(id uint64) event.Event { return registry.ReadConfigurationCall{ID: id, Local: true} }},
	{"heartbeat", heartbeat(func(*targets.Target) {})},
	{"draining", heartbeat(func(t *targets.Target) { t.Draining = true })},
	{"deregister", deregister(knownTarget)},
	{"deregister unknown", deregister("unknown")},
	{"resolve unknown route", func(id uint64) event.Event { return registry.ResolveCall{ID: id, Zone: "c", Route: "none"} }},
	{"resolve", func(id uint64) event.Event { return registry.ResolveCall{ID: id, Zone: "c", Host: "h"} }},
	{"status", func(id uint64) event.Event { return registry.StatusCall{ID: id} }},
}

// setUp adds a service and registers knownTarget.
func setUp(t *testing.T, harness *registrytest.Harness) {
	t.Helper()
	if got, _ := harness.Call(1, change(fmt.Sprintf(serviceChange, "first"))(1)); got.Status != 200 {
		t.Fatalf("initial change answered with %+v", got)
	}
	known := heartbeat(func(target *targets.Target) { target.Instance, target.Sequence = knownTarget, 1 })
	if got, _ := harness.Call(2, known(2)); got.Status != 200 {
		t.Fatalf("initial heartbeat answered with %+v", got)
	}
	harness.Run(time.Second)
}
