package simulator

import (
	"testing"
	"time"
)

// Core machines added after a change of the seeds find the others, so that the core survives two
// replacements.
func TestSeedsChanged_ReplacementsFindCore(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		report(t, Run(Options{Seed: seed, Length: 40 * time.Second, Script: seedsReplacedThenMachines}))
	}
}
