package simulator

import (
	"maps"
	"slices"
	"strings"
	"time"

	"dunlinwell/internal/base/ids"
)

// A simulated disk deletes old idempotency records as the daemon does: by its measured running
// time, which is independent of wall clocks, and in small passes, so that syncs are not delayed.
// The retention is shorter than the daemon's, so that records are deleted within a run of a minute.
const (
	idempotencyRetention = 45 * time.Second
	pruneInterval        = 500 * time.Millisecond
	maxPrunedPerPass     = 64
)

// recordAges tracks when each record was written, in running time.
type recordAges struct {
	writtenAt map[ids.RegisterKey]time.Duration
	// runningBeforeStart is the running time as last recorded, and openedAt is when it was
	// recorded.
	runningBeforeStart time.Duration
	openedAt           ids.Time
}

// runningTime returns how long stores have run on this disk, independent of wall clocks.
func (d *disk) runningTime() time.Duration { return d.runningBeforeStart + d.world.now.Sub(d.openedAt) }

// recordWriteTime records the running time at which a record was written.
func (d *disk) recordWriteTime(key ids.RegisterKey) {
	if d.writtenAt == nil {
		d.writtenAt = map[ids.RegisterKey]time.Duration{}
	}
	d.writtenAt[key] = d.runningTime()
}

// schedulePruning periodically deletes the idempotency records whose retention has ended.
func (d *disk) schedulePruning(p *process) {
	p.scheduleInRun(pruneInterval, func() {
		if d.stalled {
			d.schedulePruning(p)
			return
		}
		retention := idempotencyRetention
		if d.world.Defect.IdempotencyRetention > 0 {
			retention = d.world.Defect.IdempotencyRetention
		}
		now, pruned := d.runningTime(), 0
		d.runningBeforeStart, d.openedAt = now, d.world.now
		// Iterate in key order to keep the run deterministic.
		for _, key := range slices.Sorted(maps.Keys(d.writtenAt)) {
			if pruned < maxPrunedPerPass && strings.HasPrefix(string(key), idempotencyRecords) && now-d.writtenAt[key] > retention {
				delete(d.records, key)
				delete(d.writtenAt, key)
				pruned++
			}
		}
		d.world.pruned += pruned
		d.schedulePruning(p)
	})
}
