package spill

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"dunlinwell/internal/base/ids"
)

// newLargeInput is a view of zones that each serve every route, a third of them over
// their target.
func newLargeInput(zones, routes int) PlannerInput {
	random := rand.New(rand.NewPCG(1, 2))
	v := PlannerInput{
		Ranks: map[ids.Name]Rank{}, PendingIn: map[ids.Name]float64{}, PendingOut: map[ids.Name]float64{},
		Distance: func(a, b ids.Name) float64 {
			if a == b {
				return 0
			}
			return 1
		},
	}
	for r := range routes {
		n := ids.Name(fmt.Sprintf("route-%d", r))
		v.Ranks[n] = Rank{Tier: r % 10, Service: 5, Route: n}
	}
	for c := range zones {
		x := Zone{Name: ids.Name(fmt.Sprintf("cell-%d", c)), Target: 8500, Acceptable: 6800, Maximum: 9350}
		level := 6000.0
		if c%3 == 0 {
			level = 10000
		}
		for _, rank := range v.Ranks {
			x.Usage = append(x.Usage, RouteUsage{Rank: rank, CPU: level / float64(routes) * (0.5 + random.Float64())})
		}
		v.Zones = append(v.Zones, x)
	}
	return v
}

// BenchmarkPlan makes two plans, the second with the first's moves to go by,
// over more zones and routes.
func BenchmarkPlan(b *testing.B) {
	for _, size := range [][2]int{{9, 50}, {18, 50}, {36, 50}, {9, 100}, {9, 200}, {9, 400}} {
		b.Run(fmt.Sprintf("%dx%d", size[0], size[1]), func(b *testing.B) {
			v := newLargeInput(size[0], size[1])
			for b.Loop() {
				moves := Plan(v, nil)
				b.ReportMetric(float64(len(Plan(v, moves))), "moves")
			}
		})
	}
}
