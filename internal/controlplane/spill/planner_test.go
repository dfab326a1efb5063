package spill

import (
	"math"
	"testing"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
)

// newZone returns a zone with the levels used in most tests.
func newZone(name ids.Name, usage ...RouteUsage) Zone {
	return Zone{Name: name, Target: 800, Acceptable: 600, Maximum: 900, Usage: usage}
}

// newSmallZone returns a zone with about an eighth of the levels of newZone.
func newSmallZone(name ids.Name, usage ...RouteUsage) Zone {
	return Zone{Name: name, Target: 100, Acceptable: 80, Maximum: 110, Usage: usage}
}

// newUsage returns the usage of a route of a tier.
func newUsage(route ids.Name, tier int, cpu float64) RouteUsage {
	return RouteUsage{Rank: Rank{Tier: tier, Route: route}, CPU: cpu}
}

// publishedZones returns the zones of the second example of Cloudflare's description: zone a is
// over its maximum, and b, c and d have 300, 500 and 900 ms/s of free capacity.
func publishedZones() []Zone {
	a := Zone{Name: "a", Target: 1100, Acceptable: 900, Maximum: 1200, Usage: []RouteUsage{
		newUsage("free", 0, 500), newUsage("pro", 1, 400), newUsage("business", 2, 200), newUsage("enterprise", 3, 1000),
	}}
	destination := func(name ids.Name, freeCapacity float64) Zone {
		return Zone{Name: name, Target: 1200, Acceptable: 1000, Maximum: 1300, Usage: []RouteUsage{newUsage("free", 0, 1000-freeCapacity)}}
	}
	return []Zone{a, destination("b", 300), destination("c", 500), destination("d", 900)}
}

// publishedRanks returns the ranks of the routes of the published example.
func publishedRanks() map[ids.Name]Rank {
	ranks := map[ids.Name]Rank{}
	for _, usage := range publishedZones()[0].Usage {
		ranks[usage.Route] = usage.Rank
	}
	return ranks
}

// newInput returns the input of a plan for zones in a line from a to d, with the routes of the
// published example.
func newInput(zones []Zone) PlannerInput {
	position := map[ids.Name]float64{"a": 0, "b": 1, "c": 2, "d": 3}
	input := newInputOfRanks(zones)
	input.Ranks = publishedRanks()
	input.Distance = func(a, b ids.Name) float64 { return math.Abs(position[a] - position[b]) }
	return input
}

// newInputOfRanks returns the input of a plan for zones of equal distance, with the given ranks.
func newInputOfRanks(zones []Zone, ranks ...Rank) PlannerInput {
	input := PlannerInput{
		Zones: zones, Ranks: map[ids.Name]Rank{},
		PendingIn: map[ids.Name]float64{}, PendingOut: map[ids.Name]float64{},
		Distance: func(_, _ ids.Name) float64 { return 1 },
	}
	for _, rank := range ranks {
		input.Ranks[rank.Route] = rank
	}
	return input
}

// The second example of Cloudflare's description: zone a moves 1,000 ms/s to b, c and d.
func TestPlan_MatchesPublishedExample(t *testing.T) {
	is := is.New(t)
	got := map[string]float64{}
	for _, m := range Plan(newInput(publishedZones()), nil) {
		is.Equal(m.From, ids.Name("a"))
		got[string(m.Route+">"+m.To)] = m.PlannedCPU
	}
	want := map[string]float64{"business>b": 100, "pro>b": 200, "pro>c": 200, "free>c": 300, "free>d": 200}
	is.Equal(len(got), len(want))
	for k, v := range want {
		is.True(approxEqual(got[k], v)) // CPU time of move k as published
	}
}

// Two overloaded zones must not overload the same destination together.
func TestPlan_OverloadedZonesShareFreeCapacity(t *testing.T) {
	is := is.New(t)
	overloaded := func(name ids.Name) Zone { return newZone(name, newUsage("free", 0, 700), newUsage("pro", 1, 700)) }
	idle := newZone("c", newUsage("free", 0, 100))
	sum := 0.0
	for _, m := range Plan(newInput([]Zone{overloaded("a"), overloaded("b"), idle}), nil) {
		is.Equal(m.To, ids.Name("c"))
		is.Equal(m.Route, ids.Name("free")) // the lowest tier leaves first
		sum += m.PlannedCPU
	}
	is.True(approxEqual(sum, 500))
	// Reports don't show the moves yet, but no free capacity is left.
	input := newInput([]Zone{overloaded("a"), overloaded("b"), idle})
	input.PendingIn["c"] = 500
	is.Equal(len(Plan(input, nil)), 0)
}

func TestPlan_RecoveringZoneRecallsBeforeReceiving(t *testing.T) {
	is := is.New(t)
	recovering := newZone("a", newUsage("free", 0, 300))
	overloaded := newZone("b", newUsage("free", 0, 1000))
	far := newZone("d", newUsage("free", 0, 500))
	previous := []Move{{From: "a", To: "d", Route: "free", Fraction: 0.6, PlannedCPU: 450}}
	moves := Plan(newInput([]Zone{recovering, overloaded, far}), previous)
	for _, m := range moves {
		is.True(m.To != "a") // it still moves connections away, so it receives none
		if m.From == "a" {
			is.True(m.Fraction < 0.6)
		}
	}
	is.Equal(len(moves), 2) // the shrunk move from a, and one from b to d
}

func TestPlan_HalvesMovesOfStaleZones(t *testing.T) {
	is := is.New(t)
	from, to := newZone("a", newUsage("free", 0, 700)), newZone("b")
	from.Stale = true
	moves := []Move{{From: "a", To: "b", Route: "free", Fraction: 0.4, PlannedCPU: 100}}
	var fractions []float64
	for plans := 1; plans < 12; plans++ {
		from.StalePlans = plans
		moves = Plan(newInput([]Zone{from, to}), moves)
		if len(moves) > 0 {
			fractions = append(fractions, moves[0].Fraction)
		}
	}
	is.Equal(fractions[:4], []float64{0.4, 0.4, 0.2, 0.1})
	is.Equal(len(moves), 0)
}

// A removed route still shows in a zone's average usage. It must not be selected in place of a
// configured route.
func TestPlan_IgnoresRemovedRoutes(t *testing.T) {
	is := is.New(t)
	kept := newUsage("stock", 3, 100)
	zones := []Zone{newSmallZone("a", kept, newUsage("flip", 0, 50)), newSmallZone("b")}
	moves := Plan(newInputOfRanks(zones, kept.Rank), nil)
	is.Equal(len(moves), 1)
	is.Equal(moves[0].Route, ids.Name("stock"))
	is.True(moves[0].PlannedCPU > 49) // all of the excess
}

// When a destination is drained, the load of its moves returns to the origin, which reports don't
// show yet. The same plan must move it to another zone.
func TestPlan_ReassignsExpiredMovesInSamePlan(t *testing.T) {
	is := is.New(t)
	low, high := newUsage("low", 1, 4), newUsage("high", 9, 90)
	drained := newSmallZone("b")
	drained.Drained = true
	input := newInputOfRanks([]Zone{newSmallZone("a", low, high), drained, newSmallZone("c")}, low.Rank, high.Rank)
	moves := Plan(input, []Move{{From: "a", To: "b", Route: "low", Fraction: 0.95, PlannedCPU: 76}})
	is.Equal(len(moves), 1)
	is.Equal(moves[0].To, ids.Name("c"))
	is.Equal(moves[0].Route, ids.Name("low"))
	is.True(moves[0].PlannedCPU > 69 && moves[0].PlannedCPU < 71) // 4 + 90 + 76 minus the target of 100
}

// A route that is swapped with a more urgent one must move to a nearer zone with free capacity
// before it moves to the destination of the urgent route.
func TestPlan_SwappedRouteUsesNearestFreeCapacity(t *testing.T) {
	is := is.New(t)
	zones := publishedZones()
	zones[0].Maximum = 5000 // zone a isn't overloaded
	zones[2].Drained = true
	previous := []Move{
		{From: "a", To: "d", Route: "enterprise", Fraction: 0.5, PlannedCPU: 1000},
		{From: "a", To: "c", Route: "free", Fraction: 0.5, PlannedCPU: 500},
	}
	amount := map[string]float64{}
	for _, m := range Plan(newInput(zones), previous) {
		amount[string(m.Route+">"+m.To)] += m.PlannedCPU
	}
	// b is nearer than d, so its free capacity is used first.
	is.True(approxEqual(amount["free>b"], 300))
	is.True(amount["free>d"] > 0)
	is.Equal(amount["free>c"], 0.0)
}
