package spill

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"dunlinwell/internal/base/ids"
)

// newLargeInput returns zones that all serve every route. A third of them are over their maximum.
func newLargeInput(zones, routes int) PlannerInput {
	random := rand.New(rand.NewPCG(1, 2))
	input := newInputOfRanks(nil)
	input.Distance = func(a, b ids.Name) float64 {
		if a == b {
			return 0
		}
		return 1
	}
	for i := range routes {
		route := ids.Name(fmt.Sprintf("route-%d", i))
		input.Ranks[route] = Rank{Tier: i % 10, Service: 5, Route: route}
	}
	for i := range zones {
		zone := Zone{Name: ids.Name(fmt.Sprintf("cell-%d", i)), Target: 8500, Acceptable: 6800, Maximum: 9350}
		level := 6000.0
		if i%3 == 0 {
			level = 10000
		}
		for _, rank := range input.Ranks {
			zone.Usage = append(zone.Usage, RouteUsage{Rank: rank, CPU: level / float64(routes) * (0.5 + random.Float64())})
		}
		input.Zones = append(input.Zones, zone)
	}
	return input
}

// BenchmarkPlan makes two plans, the second from the moves of the first, for different numbers of
// zones and routes.
func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ zones, routes int }{{9, 50}, {18, 50}, {36, 50}, {9, 100}, {9, 200}, {9, 400}} {
		b.Run(fmt.Sprintf("%dx%d", size.zones, size.routes), func(b *testing.B) {
			input := newLargeInput(size.zones, size.routes)
			for b.Loop() {
				moves := Plan(input, nil)
				b.ReportMetric(float64(len(Plan(input, moves))), "moves")
			}
		})
	}
}
