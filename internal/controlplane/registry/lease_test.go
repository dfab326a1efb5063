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

// callCase makes one kind of control call.
type callCase struct {
	name    string
	newCall func(id uint64) event.Event
}

const service = `{"id":%q,"changes":[{"kind":"service","name":"s","put":{}}]}`

func change(raw string) func(uint64) event.Event {
	return func(id uint64) event.Event { return registry.ChangeCall{ID: id, Raw: []byte(raw)} }
}

func heartbeat(edit func(*targets.Target)) func(uint64) event.Event {
	return func(id uint64) event.Event {
		t := targets.Target{Instance: "i", Incarnation: 1, Sequence: 9, Service: "s", Address: "10.0.1.1:80", Zone: "c", Warmth: 1, IntervalMillis: 1000}
		edit(&t)
		return registry.HeartbeatCall{ID: id, Target: t}
	}
}

func deregister(instance ids.InstanceID) func(uint64) event.Event {
	return func(id uint64) event.Event { return registry.DeregisterCall{ID: id, Instance: instance} }
}

var calls = []callCase{
	{"change", change(fmt.Sprintf(service, "new"))},
	{"change that is stale", change(`{"id":"old","changes":[{"kind":"service","name":"s","version":77,"put":{}}]}`)},
	{"change without its item", change(`{"id":"none","changes":[{"kind":"service","name":"no","remove":true}]}`)},
	{"evacuate", change(`{"id":"e","changes":[{"kind":"cell","name":"c","put":{"region":"r","shut":true}}]}`)},
	{"malformed change", change(`{`)},
	{"merge", func(id uint64) event.Event { return registry.MergeCall{ID: id, Body: configuration.Merge{}} }},
	{"read", func(id uint64) event.Event { return registry.ReadConfigurationCall{ID: id} }},
	{"read of the own copy", func(id uint64) event.Event { return registry.ReadConfigurationCall{ID: id, Local: true} }},
	{"heartbeat", heartbeat(func(*targets.Target) {})},
	{"draining", heartbeat(func(t *targets.Target) { t.Leaving = true })},
	{"end", deregister("known")},
	{"end of a stranger", deregister("stranger")},
	{"where, no such route", func(id uint64) event.Event { return registry.ResolveCall{ID: id, Zone: "c", Route: "none"} }},
	{"where", func(id uint64) event.Event { return registry.ResolveCall{ID: id, Zone: "c", Host: "h"} }},
	{"status", func(id uint64) event.Event { return registry.StatusCall{ID: id} }},
}

// linkCase is what each call is answered in one state of the link.
type linkCase struct {
	state   string
	elapsed time.Duration
	link    registrytest.Link
	want    map[string]int
}

// linkCases hold what each call is answered. If the link fails right before the call,
// the lease is still held, and the call finds out by itself that nobody answers.
var linkCases = []linkCase{
	{"in touch", 0, registrytest.Connected, map[string]int{
		"change": 200, "change that is stale": 409, "change without its item": 404, "evacuate": 200,
		"malformed change": 400, "merge": 200, "read": 200, "read of the own copy": 200, "heartbeat": 200, "draining": 200, "end": 200,
		"end of a stranger": 200, "where, no such route": 404, "where": 200, "status": 200,
	}},
	{"cut off for long", 20 * time.Second, registrytest.Silent, cutOff},
	{"cut off until the lease ends", 1700 * time.Millisecond, registrytest.Silent, cutOff},
	{"heard but hears nothing", 20 * time.Second, registrytest.OneWay, cutOff},
	{"its store has no majority", 20 * time.Second, registrytest.Rejecting, cutOff},
	{"cut off just now", 0, registrytest.Silent, override(cutOff, map[string]int{
		"change": 504, "change that is stale": 504, "change without its item": 504,
		"evacuate": 504, "merge": 504, "read of the own copy": 200, "heartbeat": 200, "end of a stranger": 200, "where, no such route": 404, "where": 200,
	})},
	{"deaf just now", 0, registrytest.OneWay, override(cutOff, map[string]int{
		"change": 504, "change that is stale": 504, "change without its item": 504,
		"evacuate": 504, "merge": 504, "read of the own copy": 200, "heartbeat": 200, "end of a stranger": 200, "where, no such route": 404, "where": 200,
	})},
	{"its store lost the majority just now", 0, registrytest.Rejecting, override(cutOff, map[string]int{
		"read of the own copy": 200, "heartbeat": 200,
		"end of a stranger": 200, "where, no such route": 404, "where": 200,
	})},
}

// cutOff: nothing is confirmed, refused or handed out.
var cutOff = map[string]int{
	"change": 503, "change that is stale": 503, "change without its item": 503, "evacuate": 503, "malformed change": 400,
	"merge": 503, "read": 503, "read of the own copy": 503, "heartbeat": 503, "draining": 503, "end": 503, "end of a stranger": 503,
	"where, no such route": 503, "where": 503, "status": 200,
}

func override(base, by map[string]int) map[string]int {
	out := map[string]int{}
	for _, list := range []map[string]int{base, by} {
		for name, status := range list {
			out[name] = status
		}
	}
	return out
}

// A registry that was cut off answered changes 503 after 3 s, told a target that
// its end is known everywhere, denied routes out of its old configuration, and showed
// that configuration.
func TestCalls_AnswerByLinkState(t *testing.T) {
	for _, incremental := range []bool{false, true} {
		for _, row := range linkCases {
			for _, call := range calls {
				core := registrytest.New(registry.Options{Incremental: incremental})
				setUp(t, core)
				core.Link = row.link
				core.Run(row.elapsed)
				got, took := core.Call(100, call.newCall(100))
				if got.Status != row.want[call.name] {
					t.Errorf("%s, %s (incremental %v): %d %v, not %d", row.state, call.name, incremental, got.Status, got.Body, row.want[call.name])
				}
				if took >= time.Second {
					t.Errorf("%s, %s (incremental %v): answered after %s", row.state, call.name, incremental, took)
				}
				if got.Status >= 500 && got.RetryAfter == 0 {
					t.Errorf("%s, %s (incremental %v): no Retry-After", row.state, call.name, incremental)
				}
			}
		}
	}
}

// A registry that starts on the lesser side of a cut knows no store at all, or one
// that has no majority: it has nothing to tell, and says so as soon.
func TestCalls_AnswerWhenStartedPartitioned(t *testing.T) {
	for _, incremental := range []bool{false, true} {
		for _, link := range []registrytest.Link{registrytest.Silent, registrytest.OneWay, registrytest.Rejecting} {
			for _, call := range calls {
				core := registrytest.NewStarting(registry.Options{Incremental: incremental})
				core.Link = link
				core.Run(20 * time.Second)
				got, took := core.Call(100, call.newCall(100))
				if got.Status != cutOff[call.name] || took >= time.Second || got.Status >= 500 && got.RetryAfter == 0 {
					t.Errorf("link %d, %s (incremental %v): %d %v after %s, not %d", link, call.name, incremental, got.Status, got.Body, took, cutOff[call.name])
				}
			}
		}
	}
}

func setUp(t *testing.T, core *registrytest.Harness) {
	t.Helper()
	if got, _ := core.Call(1, change(fmt.Sprintf(service, "first"))(1)); got.Status != 200 {
		t.Fatalf("the first change: %+v", got)
	}
	known := heartbeat(func(target *targets.Target) { target.Instance, target.Sequence = "known", 1 })
	if got, _ := core.Call(2, known(2)); got.Status != 200 {
		t.Fatalf("the first heartbeat: %+v", got)
	}
	core.Run(time.Second)
}

// A change that was answered with 503 never takes effect; one that may have
// taken effect is answered with 504, and its copy gets the first result.
func TestChange_RejectedHasNoEffect(t *testing.T) {
	core := registrytest.New(registry.Options{})
	setUp(t, core)
	core.Link = registrytest.OneWay
	lost, _ := core.Call(3, change(fmt.Sprintf(service, "lost"))(3))
	core.Run(2 * time.Second)
	before := string(core.Value())
	rejected, _ := core.Call(4, change(`{"id":"late","changes":[{"kind":"service","name":"late","put":{}}]}`)(4))
	core.Run(5 * time.Second)
	if lost.Status != 504 || rejected.Status != 503 || string(core.Value()) != before {
		t.Fatalf("%d and %d; the policy is now %s", lost.Status, rejected.Status, core.Value())
	}
	core.Link = registrytest.Connected
	core.Run(2 * time.Second)
	again, _ := core.Call(5, change(fmt.Sprintf(service, "lost"))(5))
	if again.Status != 200 || string(core.Value()) != before {
		t.Fatalf("the copy: %+v", again)
	}
}

// A majority that is slow, but there, keeps its calls: what a slow disk holds up
// isn't answered as lost.
func TestChange_WaitsForSlowMajority(t *testing.T) {
	core := registrytest.New(registry.Options{})
	setUp(t, core)
	core.ChangeDelay = 1500 * time.Millisecond
	got, took := core.Call(3, change(fmt.Sprintf(service, "slow"))(3))
	if got.Status != 200 || took < time.Second {
		t.Fatalf("%+v after %s", got, took)
	}
}

// A machine that is busy for longer than a lease, and then goes on, refused the
// call that came meanwhile, though its majority was there all the time.
func TestChange_WaitsForLeaseRenewal(t *testing.T) {
	core := registrytest.New(registry.Options{})
	setUp(t, core)
	core.Now = core.Now.Add(2 * time.Second)
	got, took := core.Call(3, change(fmt.Sprintf(service, "busy"))(3))
	if got.Status != 200 || took >= time.Second {
		t.Fatalf("%+v after %s", got, took)
	}
	// One that has been without for long says so at once.
	core.Link = registrytest.Silent
	core.Run(5 * time.Second)
	got, took = core.Call(4, change(fmt.Sprintf(service, "apart"))(4))
	if got.Status != 503 || took > 100*time.Millisecond {
		t.Fatalf("%+v after %s", got, took)
	}
}

// At whichever moment of a cut's first seconds a call comes, it is answered within
// one, and nothing that needs an agreement of its own is confirmed or refused.
func TestCalls_BoundedThroughoutPartitionStart(t *testing.T) {
	own := map[string]bool{
		"change": true, "change that is stale": true, "change without its item": true, "evacuate": true, "merge": true,
		"read": true, "draining": true, "end": true,
	}
	for after := time.Duration(0); after <= 4*time.Second; after += 100 * time.Millisecond {
		for _, call := range calls {
			core := registrytest.New(registry.Options{Incremental: true})
			setUp(t, core)
			core.Link = registrytest.Silent
			core.Run(after)
			got, took := core.Call(100, call.newCall(100))
			if took >= time.Second {
				t.Errorf("%s, %s after the cut: answered after %s", call.name, after, took)
			}
			if own[call.name] && got.Status != 503 && got.Status != 504 {
				t.Errorf("%s, %s after the cut: %d", call.name, after, got.Status)
			}
		}
	}
}
