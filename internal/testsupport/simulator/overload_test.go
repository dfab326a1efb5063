package simulator

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/testsupport/blueprint"
	"dunlinwell/internal/testsupport/checker"
)

// overloadPlan returns a plan with one service of low capacity and two routes of different tiers.
func overloadPlan(capacity int) blueprint.Plan {
	p := blueprint.Plans["small"]
	p.Pools = []blueprint.Pool{{Service: "catalog", Targets: 4, Capacity: capacity, Tier: 5}}
	p.Routes = []blueprint.Route{
		{Name: "urgent", Prefix: "/urgent", Service: "catalog", Tier: 9, Repeatable: true, Share: 0.3},
		{Name: "idle", Prefix: "/idle", Service: "catalog", Tier: 1, Repeatable: true, Share: 0.7},
	}
	return p
}

// answeredShares returns the share of first attempts answered by route, and the longest time after
// which a first attempt was rejected.
func (w *World) answeredShares() (map[string]float64, time.Duration) {
	answered, all, maxRejectTime := map[string]float64{}, map[string]float64{}, time.Duration(0)
	w.Checker.EachAttempt(func(token string, attempt int, class string, took time.Duration) {
		route, _, _ := strings.Cut(token, ":")
		if attempt != 1 {
			return
		}
		all[route]++
		if class == "answered" {
			answered[route]++
		}
		if class == "declined" {
			maxRejectTime = max(maxRejectTime, took)
		}
	})
	for r := range all {
		answered[r] /= all[r]
	}
	return answered, maxRejectTime
}

// reportOverload fails the test for every violated rule, except that all requests are answered 15 s
// after the faults: under overload some must be rejected.
func reportOverload(t *testing.T, o Outcome) {
	t.Helper()
	o.Results = slices.DeleteFunc(slices.Clone(o.Results), func(c checker.RuleResult) bool { return strings.Contains(c.Rule, "15 s after") })
	report(t, o)
}

// At twice the capacity, urgent requests are answered, idle ones are rejected early, and no target
// is overloaded.
func TestOverload_RejectsLowestTierFirst(t *testing.T) {
	is := is.New(t)
	// Four targets with 3 slots at 20 ms per request handle at most 600 requests per second.
	var world *World
	o := Run(Options{Seed: 1, Plan: overloadPlan(3), Rate: 1100, Length: 16 * time.Second, FaultEvery: -1, Script: func(w *World) { world = w }})
	reportOverload(t, o)
	share, maxRejectTime := world.answeredShares()
	t.Logf("answered at the first attempt: urgent %.3f, idle %.3f; rejected after %s at most", share["urgent"], share["idle"], maxRejectTime)
	is.True(share["urgent"] > 0.97)
	is.True(share["idle"] < 0.6 && share["idle"] > 0.05)
	is.True(maxRejectTime < 1200*time.Millisecond) // clients wait up to 4 s
}

// All targets restart repeatedly under more load than cold targets can handle. Over all proxies,
// none may get more than 1.5 times its capacity.
func TestOverload_ColdTargetsAreNotOverloaded(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		o := Run(Options{Seed: seed, Plan: overloadPlan(8), Rate: 500, Length: 30 * time.Second, FaultEvery: -1, Script: func(w *World) {
			w.repeat(time.Second, 700*time.Millisecond, 30, func(i int) {
				target := w.targets[i%len(w.targets)]
				target.crash()
				w.schedule(30*time.Millisecond, func() { w.restartTarget(target) })
			})
		}})
		reportOverload(t, o)
		t.Logf("seed %d: %v", seed, o.Responses)
	}
}
