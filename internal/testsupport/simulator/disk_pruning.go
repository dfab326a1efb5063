package simulator

import (
	"maps"
	"slices"
	"strings"
	"time"

	"dunlinwell/internal/base/ids"
)

// A simulated disk deletes old idempotency records as the real one does: by its own measured
// running time, which wall clocks can't change, and few at a time, so that no sync waits long.
// The retention is shorter than the real one, so that runs of a minute see it.
const (
	idempotencyRetention = 45 * time.Second
	pruneInterval        = 500 * time.Millisecond
	maxPrunedPerPass     = 64
)

// recordAges keeps since when, in running time, each record has been on the disk.
type recordAges struct {
	writtenAt map[ids.RegisterKey]time.Duration
	// runningBeforeStart is the running time as it was last recorded, and openedAt when
	// that was.
	runningBeforeStart time.Duration
	openedAt           ids.Time
}

// runningTime is the time for which stores have run on this disk, which jumps of wall clocks do not
// change.
func (d *disk) runningTime() time.Duration { return d.runningBeforeStart + d.world.now.Sub(d.openedAt) }

// recordWriteTime records when a record was written.
func (d *disk) recordWriteTime(key ids.RegisterKey) {
	if d.writtenAt == nil {
		d.writtenAt = map[ids.RegisterKey]time.Duration{}
	}
	d.writtenAt[key] = d.runningTime()
}

// schedulePruning regularly deletes the idempotency records that have been kept for long enough.
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
		// In order, so that one seed is one run.
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
