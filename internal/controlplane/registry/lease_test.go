package registry_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"dunlinwell/internal/controlplane/registry"
	"dunlinwell/internal/controlplane/registry/registrytest"
)

// maxAnswerTime is within which every call must be answered while no majority is reached.
const maxAnswerTime = time.Second

// linkCase is what each call is answered in one state of the link.
type linkCase struct {
	state string
	// elapsed is the time between the change of the link and the call.
	elapsed time.Duration
	link    registrytest.Link
	// want holds the statuses, by name of the call.
	want map[string]int
}

// withoutLease is what calls are answered without the lease: nothing is confirmed,
// rejected or handed out.
var withoutLease = map[string]int{
	"change": 503, "change of a stale version": 503, "change of a missing item": 503, "evacuation": 503, "malformed change": 400,
	"merge": 503, "read": 503, "local read": 503, "heartbeat": 503, "draining": 503, "deregister": 503, "deregister unknown": 503,
	"resolve unknown route": 503, "resolve": 503, "status": 200,
}

// lostJustNow is what calls are answered right after the link to the majority was lost:
// the lease is still held, and the stores may have carried a change out.
var lostJustNow = override(withoutLease, map[string]int{
	"change": 504, "change of a stale version": 504, "change of a missing item": 504,
	"evacuation": 504, "merge": 504, "local read": 200, "heartbeat": 200, "deregister unknown": 200, "resolve unknown route": 404, "resolve": 200,
})

var linkCases = []linkCase{
	{"connected", 0, registrytest.Connected, map[string]int{
		"change": 200, "change of a stale version": 409, "change of a missing item": 404, "evacuation": 200,
		"malformed change": 400, "merge": 200, "read": 200, "local read": 200, "heartbeat": 200, "draining": 200, "deregister": 200,
		"deregister unknown": 200, "resolve unknown route": 404, "resolve": 200, "status": 200,
	}},
	{"cut off for long", 20 * time.Second, registrytest.Partitioned, withoutLease},
	{"cut off until the lease has lapsed", 1700 * time.Millisecond, registrytest.Partitioned, withoutLease},
	{"receives nothing for long", 20 * time.Second, registrytest.RepliesLost, withoutLease},
	{"store without majority for long", 20 * time.Second, registrytest.NoMajority, withoutLease},
	{"cut off just now", 0, registrytest.Partitioned, lostJustNow},
	{"receives nothing since just now", 0, registrytest.RepliesLost, lostJustNow},
	{"store without majority since just now", 0, registrytest.NoMajority, override(withoutLease, map[string]int{
		"local read": 200, "heartbeat": 200,
		"deregister unknown": 200, "resolve unknown route": 404, "resolve": 200,
	})},
}

// override gives a copy of base with some entries replaced.
func override(base, by map[string]int) map[string]int {
	merged := maps.Clone(base)
	maps.Copy(merged, by)
	return merged
}

// Regression: a registry that was cut off answered changes with 503 after 3 s, told a target
// that its end was known everywhere, denied routes by its old configuration, and showed
// that configuration.
func TestCalls_AnswerByLinkState(t *testing.T) {
	for _, incremental := range []bool{false, true} {
		for _, linkCase := range linkCases {
			for _, call := range calls {
				t.Run(fmt.Sprintf("incremental=%v/%s/%s", incremental, linkCase.state, call.name), func(t *testing.T) {
					harness := registrytest.New(registry.Options{Incremental: incremental})
					setUp(t, harness)
					harness.Link = linkCase.link
					harness.Run(linkCase.elapsed)
					checkAnswer(t, harness, call, linkCase.want[call.name])
				})
			}
		}
	}
}

// A registry that starts on the minority side of a partition knows no store at all, or one
// that has no majority: it has nothing to hand out, and says so as soon.
func TestCalls_AnswerWhenStartedPartitioned(t *testing.T) {
	links := map[string]registrytest.Link{"silent": registrytest.Partitioned, "one-way": registrytest.RepliesLost, "rejecting": registrytest.NoMajority}
	for _, incremental := range []bool{false, true} {
		for linkName, link := range links {
			for _, call := range calls {
				t.Run(fmt.Sprintf("incremental=%v/%s/%s", incremental, linkName, call.name), func(t *testing.T) {
					harness := registrytest.NewStarting(registry.Options{Incremental: incremental})
					harness.Link = link
					harness.Run(20 * time.Second)
					checkAnswer(t, harness, call, withoutLease[call.name])
				})
			}
		}
	}
}

// checkAnswer makes a call, and checks its status, how long the answer took, and that
// errors of the server ask the caller to repeat the call.
func checkAnswer(t *testing.T, harness *registrytest.Harness, call callCase, want int) {
	t.Helper()
	const id = 100
	got, took := harness.Call(id, call.newCall(id))
	if got.Status != want {
		t.Errorf("answered %d %v, want %d", got.Status, got.Body, want)
	}
	if took >= maxAnswerTime {
		t.Errorf("answered after %s", took)
	}
	if got.Status >= 500 && got.RetryAfter == 0 {
		t.Error("no Retry-After")
	}
}

// At whichever moment of a partition's first seconds a call arrives, it is answered within
// a second, and nothing that needs an agreement of its own is confirmed or rejected.
func TestCalls_BoundedThroughoutPartitionStart(t *testing.T) {
	needsAgreement := map[string]bool{
		"change": true, "change of a stale version": true, "change of a missing item": true, "evacuation": true, "merge": true,
		"read": true, "draining": true, "deregister": true,
	}
	for after := time.Duration(0); after <= 4*time.Second; after += 100 * time.Millisecond {
		for _, call := range calls {
			harness := registrytest.New(registry.Options{Incremental: true})
			setUp(t, harness)
			harness.Link = registrytest.Partitioned
			harness.Run(after)
			got, took := harness.Call(100, call.newCall(100))
			if took >= maxAnswerTime {
				t.Errorf("%s, %s after the partition: answered after %s", call.name, after, took)
			}
			if needsAgreement[call.name] && got.Status != 503 && got.Status != 504 {
				t.Errorf("%s, %s after the partition: %d", call.name, after, got.Status)
			}
		}
	}
}
