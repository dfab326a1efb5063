package targets

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A gap between two ticks means that this process was paused, and must not expire targets. Targets
// that are silent afterwards expire, and are removed after the retention time.
func TestTable_ProcessPauseExpiresNoTarget(t *testing.T) {
	is := is.New(t)
	table := New()
	table.Merge(at(0), newTarget("a", 1, 1))
	for i := range 3 {
		is.Equal(len(table.Tick(at(time.Duration(i+1)*900*time.Millisecond))), 0)
	}
	// Five seconds without a tick are a pause of this process.
	is.Equal(len(table.Tick(at(8*time.Second))), 0)
	for now := 8500 * time.Millisecond; now <= 11*time.Second; now += 500 * time.Millisecond {
		is.Equal(len(table.Tick(at(now))), 0)
	}
	is.Equal(len(table.Tick(at(11500*time.Millisecond))), 1)
	table.PurgeDead(at(2*time.Hour), time.Hour)
	is.Equal(len(table.All(at(2*time.Hour))), 0)
}
