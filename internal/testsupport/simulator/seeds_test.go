package simulator

import (
	"testing"
	"time"
)

// Machines that are put up after the settings have changed find the others, and
// two replacements in a row leave the core whole.
func TestSeedsTurnedOverThenReplaced(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		report(t, Run(Params{Seed: seed, Length: 40 * time.Second, Script: seedsTurnedThenReplaced}))
	}
}
