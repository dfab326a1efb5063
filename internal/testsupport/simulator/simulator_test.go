package simulator

import (
	"testing"

	"github.com/matryer/is"
)

// report fails the test for every violated rule.
func report(t *testing.T, o Outcome) {
	t.Helper()
	for _, c := range o.Results {
		if c.Violations > 0 {
			t.Errorf("seed %d: %s: %d, such as %s", o.Seed, c.Rule, c.Violations, c.Sample)
		}
	}
}

// No seed violates a rule of the checker, and the seeds together inject every kind of random fault
// at least twice.
func TestSeeds(t *testing.T) {
	injected := map[string]int{}
	for seed := uint64(1); seed <= 12; seed++ {
		o := Run(Options{Seed: seed})
		t.Logf("seed %d: %d events, %v, %d changes", seed, o.Events, o.Responses, o.Changes)
		report(t, o)
		if o.Pruned == 0 {
			t.Errorf("seed %d: no idempotency record was deleted", seed)
		}
		for kind, n := range o.FaultCounts {
			injected[kind] += n
		}
	}
	for _, kind := range FaultKinds() {
		if injected[kind] < 2 {
			t.Errorf("fault %s was injected %d times, want at least 2", kind, injected[kind])
		}
	}
}

// Two runs of the same seed have identical logs.
func TestRun_IsDeterminedBySeed(t *testing.T) {
	is := is.New(t)
	a, b := Run(Options{Seed: 7}), Run(Options{Seed: 7})
	is.Equal(a.TraceHash, b.TraceHash)
	is.Equal(a.Events, b.Events)
	is.True(a.TraceHash != Run(Options{Seed: 8}).TraceHash)
}
