package directory

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/spill"
)

// newSnapshot returns a snapshot of zones a, b and c in a line. Each has two proxies, a remaining
// capacity of 60 and a demand of 100.
func newSnapshot() Snapshot {
	position := map[ids.Name]float64{"a": 0, "b": 1, "c": 2}
	s := Snapshot{
		Drained:      map[ids.Name]bool{},
		Distance:     func(x, y ids.Name) float64 { return math.Abs(position[x] - position[y]) },
		Demand:       func(ids.Name) float64 { return 100 },
		CapacityLeft: func(ids.Name) float64 { return 60 },
	}
	for _, zone := range []ids.Name{"a", "b", "c"} {
		for range 2 {
			s.Proxies = append(s.Proxies, membership.Member{Zone: zone, HTTPAddress: ids.Address(zone) + ":1"})
		}
	}
	return s
}

// sampleZones returns the fraction of lookups that are resolved to each zone.
func sampleZones(s Snapshot, zone, route ids.Name) map[ids.Name]float64 {
	const lookups = 10000
	random := rand.New(rand.NewPCG(1, 2))
	fractions := map[ids.Name]float64{}
	for range lookups {
		if destination, ok := s.Resolve(zone, route, random); ok {
			fractions[destination.Zone] += 1.0 / lookups
		}
	}
	return fractions
}

// approxEqual reports whether two fractions are equal up to sampling error.
func approxEqual(x, y float64) bool { return math.Abs(x-y) < 0.02 }

func TestResolve_FollowsMoveFractions(t *testing.T) {
	is := is.New(t)
	s := newSnapshot()
	s.Moves = []spill.Move{{From: "a", To: "b", Route: "r", Fraction: 0.2}, {From: "a", To: "c", Route: "r", Fraction: 0.1}}
	got := sampleZones(s, "a", "r")
	is.True(approxEqual(got["a"], 0.7) && approxEqual(got["b"], 0.2) && approxEqual(got["c"], 0.1))
	is.True(approxEqual(sampleZones(s, "a", "other")["a"], 1)) // other routes aren't moved
	is.True(approxEqual(sampleZones(s, "b", "r")["b"], 1))     // neither are other zones
	// A move to a drained zone is ignored before the next plan.
	s.Drained["b"] = true
	got = sampleZones(s, "a", "r")
	is.True(approxEqual(got["a"], 0.9) && got["b"] == 0)
}

// Lookups from an unavailable zone fill the remaining capacity of the others, nearest first.
func TestResolve_DistributesFailoverByCapacity(t *testing.T) {
	is := is.New(t)
	s := newSnapshot()
	s.Proxies = s.Proxies[2:]
	got := sampleZones(s, "a", "r")
	is.True(approxEqual(got["b"], 0.6) && approxEqual(got["c"], 0.4)) // b takes 60 of 100, c the rest
	s.CapacityLeft = func(ids.Name) float64 { return 0 }
	is.True(approxEqual(sampleZones(s, "a", "r")["b"], 1)) // no capacity left: the nearest zone
	s.Proxies = nil
	is.Equal(len(sampleZones(s, "a", "r")), 0)
}
