package simulator

import (
	"testing"

	"github.com/matryer/is"
)

// report fails the test for every rule that was violated.
func report(t *testing.T, o Outcome) {
	t.Helper()
	for _, c := range o.Results {
		if c.Violations > 0 {
			t.Errorf("seed %d: %s: %d, such as %s", o.Seed, c.Rule, c.Violations, c.Sample)
		}
	}
}

// Many seeds with every kind of random fault violate no rule.
func TestSeeds(t *testing.T) {
	struck := map[string]int{}
	for seed := uint64(1); seed <= 12; seed++ {
		o := Run(Options{Seed: seed})
		t.Logf("seed %d: %d events, %v, %d changes", seed, o.Events, o.Responses, o.Changes)
		report(t, o)
		if o.Pruned == 0 {
			t.Errorf("seed %d: no mark was old enough to be forgotten", seed)
		}
		for kind, n := range o.FaultCounts {
			struck[kind] += n
		}
	}
	for _, kind := range FaultKinds() {
		if struck[kind] < 2 {
			t.Errorf("%s struck %d times: too few to prove anything", kind, struck[kind])
		}
	}
}

// Two runs of one seed are the same to the last line of their logs.
func TestRun_IsDeterminedBySeed(t *testing.T) {
	is := is.New(t)
	a, b := Run(Options{Seed: 7}), Run(Options{Seed: 7})
	is.Equal(a.TraceHash, b.TraceHash)
	is.Equal(a.Events, b.Events)
	is.True(a.TraceHash != Run(Options{Seed: 8}).TraceHash)
}
