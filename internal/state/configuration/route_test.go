package configuration

import (
	"math"
	"testing"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
)

func TestRouteSelectService_FollowsWeights(t *testing.T) {
	is := is.New(t)
	route := Route{Service: "none", Split: []WeightedService{{"idle", 0}, {"wader", 90}, {"plover", 10}, {"wader", 0}, {"late", 0}}}
	is.Equal(route.Services(), []ids.Name{"wader", "plover"})
	selected := map[ids.Name]int{}
	const n = 1000
	for i := range n {
		selected[route.SelectService(float64(i)/n)]++
	}
	is.Equal(selected, map[ids.Name]int{"wader": 900, "plover": 100})
	// Both ends of the range, and fractions whose sum is rounded below 1.
	is.Equal(route.SelectService(0), ids.Name("wader"))
	is.Equal(route.SelectService(math.Nextafter(1, 0)), ids.Name("plover"))
	is.Equal(route.SelectService(1), ids.Name("plover")) // never a service without weight
	thirds := Route{Split: []WeightedService{{"a", 0.1}, {"b", 0.1}, {"c", 0.1}, {"zero", 0}}}
	is.Equal(thirds.SelectService(math.Nextafter(1, 0)), ids.Name("c"))
	// A route without a split has only its service.
	unsplit := Route{Service: "wader"}
	is.Equal(unsplit.Services(), []ids.Name{"wader"})
	is.Equal(unsplit.SelectService(0.5), ids.Name("wader"))
	// A service that is listed twice counts once.
	is.Equal(Route{Split: []WeightedService{{"a", 1}, {"a", 2}, {"b", 1}}}.Services(), []ids.Name{"a", "b"})
}
