package simulator

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// repairTimes returns the sorted times, from the restart of a store with a lost disk, until the
// voter set is complete again.
func repairTimes(p Options, registers, size int) (took []time.Duration) {
	for p.Seed = 1; p.Seed <= 4; p.Seed++ {
		p.Length, p.FaultEvery, p.Rate = 60*time.Second, -1, 5
		p.Script = func(w *World) {
			w.schedule(time.Second, func() { w.fillStores(registers, size) })
			w.schedule(2*time.Second, func() {
				w.wipeInSequence([]int{0, 1, 2, 0}, 12*time.Second, func(d time.Duration) { took = append(took, d) })
			})
		}
		Run(p)
	}
	slices.Sort(took)
	return took
}

// The voter set is complete within the bound after a store with a lost disk restarts.
func TestStoreRepair_CompletesWithinBound(t *testing.T) {
	const slow, link = 40 * millisecond, 2.2e6
	for name, c := range map[string]struct {
		options         Options
		registers, size int
		bound           time.Duration
	}{
		"3 members, small":             {Options{}, 0, 0, 1500 * millisecond},
		"3 members, small, slow disk":  {Options{DiskSyncTime: slow}, 0, 0, 1500 * millisecond},
		"3 members, small, 2.2 Mbit/s": {Options{LinkBitsPerSecond: link}, 0, 0, 1500 * millisecond},
		"5 members, small":             {Options{Replicas: 5}, 0, 0, 1500 * millisecond},
		"3 members, 5,000 registers":   {Options{}, 5000, 100, 3 * time.Second},
		"5 members, 5,000 registers":   {Options{Replicas: 5}, 5000, 100, 3 * time.Second},
		"3 members, 1,000, 2.2 Mbit/s": {Options{LinkBitsPerSecond: link}, 1000, 100, 3 * time.Second},
		"3 members, 5,000, slow disk":  {Options{DiskSyncTime: slow}, 5000, 100, 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			took := repairTimes(c.options, c.registers, c.size)
			is.Equal(len(took), 16)
			t.Logf("%s: p50 %v, max %v", name, took[len(took)/2], took[len(took)-1])
			is.True(took[0] >= 0) // no repair timed out
			is.True(took[len(took)-1] <= c.bound)
		})
	}
}
