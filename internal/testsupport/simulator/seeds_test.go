package simulator

import (
	"testing"
	"time"
)

// Machines that are added after the seeds in the settings have changed find the others, and two
// replacements in a row leave the core whole.
func TestSeedsChanged_ReplacementsFindCore(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		report(t, Run(Options{Seed: seed, Length: 40 * time.Second, Script: seedsReplacedThenMachines}))
	}
}
