package spill

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
)

func approximately(a, b float64) bool { return math.Abs(a-b) < 1e-6*max(1, math.Abs(b)) }

// The source's first worked example: 18,000 ms/s used at 90 % with a target
// of 85 % leaves 1,000 ms/s to move.
func TestExcessCPU_MatchesPublishedExample(t *testing.T) {
	is := is.New(t)
	is.True(approximately(ExcessCPU(18000, 90, 85), 1000))
	is.Equal(ExcessCPU(18000, 85, 85), 0.0)
}

func publishedZones() []Zone {
	a := Zone{Name: "a", Target: 1100, Acceptable: 900, Maximum: 1200}
	for i, r := range []struct {
		n ids.Name
		c float64
	}{{"free", 500}, {"pro", 400}, {"business", 200}, {"enterprise", 1000}} {
		a.Usage = append(a.Usage, RouteUsage{Rank{Tier: i, Route: r.n}, r.c})
	}
	dest := func(n ids.Name, room float64) Zone {
		return Zone{Name: n, Target: 1200, Acceptable: 1000, Maximum: 1300, Usage: []RouteUsage{{Rank{Route: "free"}, 1000 - room}}}
	}
	return []Zone{a, dest("b", 300), dest("c", 500), dest("d", 900)}
}

func publishedRanks() map[ids.Name]Rank {
	out := map[ids.Name]Rank{}
	for _, r := range publishedZones()[0].Usage {
		out[r.Route] = r.Rank
	}
	return out
}

func newInput(zones []Zone) PlannerInput {
	place := map[ids.Name]float64{"a": 0, "b": 1, "c": 2, "d": 3}
	return PlannerInput{
		Zones: zones, Ranks: publishedRanks(), PendingIn: map[ids.Name]float64{}, PendingOut: map[ids.Name]float64{},
		Distance: func(a, b ids.Name) float64 { return math.Abs(place[a] - place[b]) },
	}
}

// The source's second worked example: A moves 1,000 ms/s to B, C and D.
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
		is.True(approximately(got[k], v)) // k's amount as in the source
	}
}

// Two hot zones can't overfill one destination: the account of room is one.
func TestPlan_HotZonesShareOneRoomAccount(t *testing.T) {
	is := is.New(t)
	hot := func(n ids.Name) Zone {
		return Zone{Name: n, Target: 800, Acceptable: 600, Maximum: 900, Usage: []RouteUsage{{Rank{Tier: 0, Route: "free"}, 700}, {Rank{Tier: 1, Route: "pro"}, 700}}}
	}
	cold := Zone{Name: "c", Target: 800, Acceptable: 600, Maximum: 900, Usage: []RouteUsage{{Rank{Tier: 0, Route: "free"}, 100}}}
	sum := 0.0
	for _, m := range Plan(newInput([]Zone{hot("a"), hot("b"), cold}), nil) {
		is.Equal(m.To, ids.Name("c"))
		is.Equal(m.Route, ids.Name("free")) // the lowest tier leaves first
		sum += m.PlannedCPU
	}
	is.True(approximately(sum, 500))
	// The same again before reports can show it: nothing more fits.
	v := newInput([]Zone{hot("a"), hot("b"), cold})
	v.PendingIn["c"] = 500
	is.Equal(len(Plan(v, nil)), 0)
}

func TestPlan_RecoveringZoneRecallsFirst(t *testing.T) {
	is := is.New(t)
	rec := Zone{Name: "a", Target: 800, Acceptable: 600, Maximum: 900, Usage: []RouteUsage{{Rank{Tier: 0, Route: "free"}, 300}}}
	hot := Zone{Name: "b", Target: 800, Acceptable: 600, Maximum: 900, Usage: []RouteUsage{{Rank{Tier: 0, Route: "free"}, 1000}}}
	far := Zone{Name: "d", Target: 800, Acceptable: 600, Maximum: 900, Usage: []RouteUsage{{Rank{Tier: 0, Route: "free"}, 500}}}
	last := []Move{{From: "a", To: "d", Route: "free", Fraction: 0.6, PlannedCPU: 450}}
	moves := Plan(newInput([]Zone{rec, hot, far}), last)
	for _, m := range moves {
		is.True(m.To != "a") // it still has moves out, so it takes nothing in
		if m.From == "a" {
			is.True(m.Fraction < 0.6)
		}
	}
	is.Equal(len(moves), 2) // its own, shrunk, and the hot zone's to the far one
}

func TestPlan_ShrinksStaleMovesStepwise(t *testing.T) {
	is := is.New(t)
	from := Zone{Name: "a", Target: 800, Acceptable: 600, Maximum: 900, Stale: true, Usage: []RouteUsage{{Rank{Route: "free"}, 700}}}
	to := Zone{Name: "b", Target: 800, Acceptable: 600, Maximum: 900}
	moves := []Move{{From: "a", To: "b", Route: "free", Fraction: 0.4, PlannedCPU: 100}}
	var seen []float64
	for n := 1; n < 12; n++ {
		from.StalePlans = n
		moves = Plan(newInput([]Zone{from, to}), moves)
		if len(moves) > 0 {
			seen = append(seen, moves[0].Fraction)
		}
	}
	is.Equal(seen[:4], []float64{0.4, 0.4, 0.2, 0.1})
	is.Equal(len(moves), 0)
}

func TestLearnMaximum_FitsOrFallsBack(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	var s []Sample
	for i := range 200 {
		x := 200 + float64(i)*4
		s = append(s, Sample{x, 2 + 18*(x/1000)*(x/1000) + random.NormFloat64()*0.3})
	}
	for i := 0; i < 200; i += 20 {
		s[i].LatencyMillis = 400 // outliers
	}
	f := LearnMaximum(s, 850, 900)
	is.True(f.Learned)
	is.True(math.Abs(f.Maximum-1000) < 25)
	is.Equal(LearnMaximum(s[:10], 850, 900).Maximum, 900.0)    // too few
	is.Equal(LearnMaximum(s[:30], 850, 900).Learned, false)    // too little spread
	is.Equal(LearnMaximum(s, 1200, 1300).Maximum, 1200.0*1.02) // never under the target
	for i := range s {
		s[i].LatencyMillis = 15 - 10*s[i].CPU/1000
	}
	is.Equal(LearnMaximum(s, 850, 900).Learned, false) // falls
}

// A route that was just removed still shows in the mean of what a zone used. It
// is not moved: what is there to move are the routes that there are.
func TestPlan_IgnoresRemovedRoutes(t *testing.T) {
	is := is.New(t)
	stay := Rank{Tier: 3, Route: "stock"}
	v := PlannerInput{
		Distance: func(a, b ids.Name) float64 { return 1 }, Ranks: map[ids.Name]Rank{"stock": stay},
		PendingIn: map[ids.Name]float64{}, PendingOut: map[ids.Name]float64{},
		Zones: []Zone{
			{Name: "a", Target: 100, Acceptable: 80, Maximum: 110, Usage: []RouteUsage{{stay, 100}, {Rank{Route: "flip"}, 50}}},
			{Name: "b", Target: 100, Acceptable: 80, Maximum: 110},
		},
	}
	moves := Plan(v, nil)
	is.Equal(len(moves), 1)
	is.Equal(moves[0].Route, ids.Name("stock"))
	is.True(moves[0].PlannedCPU > 49) // all of the excess
}

// A destination is emptied: what was moved there comes home, which no report
// shows yet. It is placed anew in the same plan, lowest first, not a plan later.
func TestPlan_ReplacesEndedMovesAtOnce(t *testing.T) {
	is := is.New(t)
	low, high := Rank{Tier: 1, Route: "low"}, Rank{Tier: 9, Route: "high"}
	v := PlannerInput{
		Distance: func(a, b ids.Name) float64 { return 1 }, Ranks: map[ids.Name]Rank{"low": low, "high": high},
		PendingIn: map[ids.Name]float64{}, PendingOut: map[ids.Name]float64{},
		Zones: []Zone{
			{Name: "a", Target: 100, Acceptable: 80, Maximum: 110, Usage: []RouteUsage{{low, 4}, {high, 90}}},
			{Name: "b", Target: 100, Acceptable: 80, Maximum: 110, Drained: true},
			{Name: "c", Target: 100, Acceptable: 80, Maximum: 110},
		},
	}
	moves := Plan(v, []Move{{From: "a", To: "b", Route: "low", Fraction: 0.95, PlannedCPU: 76}})
	is.Equal(len(moves), 1)
	is.Equal(moves[0].To, ids.Name("c"))
	is.Equal(moves[0].Route, ids.Name("low"))
	is.True(moves[0].PlannedCPU > 69 && moves[0].PlannedCPU < 71) // 4 + 90 + 76 less the target
}

// A move's destination was emptied, and the route that it had taken went to a far
// zone, in place of a more urgent one, though a nearer zone had come to have room.
func TestPlan_SwappedRouteTakesNearestRoom(t *testing.T) {
	is := is.New(t)
	zones := publishedZones()
	a := &zones[0]
	a.Maximum = 5000 // nothing new leaves
	zones[2].Drained = true
	last := []Move{
		{From: "a", To: "d", Route: "enterprise", Fraction: 0.5, PlannedCPU: 1000},
		{From: "a", To: "c", Route: "free", Fraction: 0.5, PlannedCPU: 500},
	}
	amount := map[string]float64{}
	for _, m := range Plan(newInput(zones), last) {
		amount[string(m.Route+">"+m.To)] += m.PlannedCPU
	}
	// b is nearer than d, and takes what it has room for.
	is.True(approximately(amount["free>b"], 300))
	is.True(amount["free>d"] > 0)
	is.Equal(amount["free>c"], 0.0)
}
