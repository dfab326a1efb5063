package simulator

import (
	"maps"
	"slices"
	"strings"
	"time"

	"dunlinwell/internal/base/ids"
)

// A simulated disk forgets marks as the real one does: by its own measured
// running time, which wall clocks can't touch, and a small batch at a time.
const (
	idempotencyRetention = 45 * time.Second
	pruneEvery           = 500 * time.Millisecond
	maxPruned            = 64
)

// ages is since when, in running time, each mark has been on the disk.
type ages struct {
	born map[ids.RegisterKey]time.Duration
	// ran is the running time up to the last start, as far as it was noted.
	ran    time.Duration
	opened ids.Time
}

func (d *disk) running() time.Duration { return d.ran + d.w.now.Sub(d.opened) }

// age notes when a record was written.
func (d *disk) age(key ids.RegisterKey) {
	if d.born == nil {
		d.born = map[ids.RegisterKey]time.Duration{}
	}
	d.born[key] = d.running()
}

// prune drops marks that have been kept for long enough.
func (d *disk) prune(p *process) {
	p.later(pruneEvery, func() {
		if d.stalled {
			d.prune(p)
			return
		}
		keep := idempotencyRetention
		if d.w.Defect.IdempotencyRetention > 0 {
			keep = d.w.Defect.IdempotencyRetention
		}
		now, n := d.running(), 0
		d.ran, d.opened = now, d.w.now
		// In order, so that one seed is one run.
		for _, k := range slices.Sorted(maps.Keys(d.born)) {
			if n < maxPruned && strings.HasPrefix(string(k), "item/mark/") && now-d.born[k] > keep {
				delete(d.records, k)
				delete(d.born, k)
				n++
			}
		}
		d.w.pruned += n
		d.prune(p)
	})
}
