package simulator

import (
	"maps"
	"slices"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
)

// The keys of a store's records, as package consensus writes them.
const (
	voterSetRecord     = "meta/roster"
	idempotencyRecords = "item/mark/"
	// registerKeysEnd is the first key after all of the prefix "item/".
	registerKeysEnd = "item0"
)

// Get returns a synced record.
func (d *disk) Get(key ids.RegisterKey) ([]byte, bool) {
	raw, ok := d.records[key]
	return raw, ok
}

// Scan returns up to limit synced register records after key, in key order.
func (d *disk) Scan(key ids.RegisterKey, limit int) []event.Record {
	keys := d.sortedKeys()
	from, found := slices.BinarySearch(keys, key)
	if found {
		from++
	}
	var out []event.Record
	for _, next := range keys[from:] {
		if next >= registerKeysEnd || len(out) == limit {
			break
		}
		out = append(out, event.Record{Key: next, Value: d.records[next]})
	}
	return out
}

// sortedKeys returns all keys in order. The order is cached until a key is added or removed, since
// a store scans its disk in small steps when it starts.
func (d *disk) sortedKeys() []ids.RegisterKey {
	if d.sortedKeyCache == nil || len(d.sortedKeyCache) != len(d.records) {
		d.sortedKeyCache = slices.Sorted(maps.Keys(d.records))
	}
	return d.sortedKeyCache
}

// disk is a store's data directory. It contains only synced records.
type disk struct {
	world     *World
	storeID   uint64
	runNumber uint64
	records   map[ids.RegisterKey][]byte
	// sortedKeyCache holds the keys in order; nil if it is stale.
	sortedKeyCache []ids.RegisterKey
	queue          []event.Sync
	syncing        bool
	stalled        bool
	// slowdown is the factor by which syncs take longer; 0 for a disk of normal speed.
	slowdown   int
	generation int
	recordAges
}

// newDisk returns a blank disk.
func newDisk(w *World) *disk { return &disk{world: w, records: map[ids.RegisterKey][]byte{}} }

// open begins a new run of a store on the disk.
func (d *disk) open(p *process) {
	if d.storeID == 0 {
		d.storeID = d.world.random.Uint64()>>24 | 1
	}
	d.runNumber++
	d.generation++
	d.queue, d.syncing = nil, false
	d.openedAt = d.world.now
	d.schedulePruning(p)
}

// crash loses the records that were not synced.
func (d *disk) crash() {
	d.generation++
	d.queue, d.syncing = nil, false
	if d.world.Defect.LoseSyncedRecords {
		for key := range d.records {
			if d.world.random.IntN(2) == 0 && key != voterSetRecord {
				delete(d.records, key)
			}
		}
	}
}

// wipe loses everything, including the store ID: the next store to start on the disk gets a new
// one.
func (d *disk) wipe() {
	*d = disk{world: d.world, records: map[ids.RegisterKey][]byte{}, generation: d.generation + 1}
}

// writeBackDelay is how long a disk with Defect.AcknowledgeBeforeSync delays writes that it has
// reported as synced.
const writeBackDelay = 50 * time.Millisecond

// sync queues a batch of records.
func (d *disk) sync(p *process, s event.Sync) {
	if d.world.Defect.AcknowledgeBeforeSync {
		p.execute(s.After)
		s.After = nil
	}
	d.queue = append(d.queue, s)
	d.startSync(p)
}

// startSync syncs all queued batches at once, as the committer of the daemon does.
func (d *disk) startSync(p *process) {
	if d.syncing || len(d.queue) == 0 {
		return
	}
	d.syncing = true
	duration := d.world.randomDuration(200*time.Microsecond, 4*time.Millisecond) * time.Duration(max(d.slowdown, 1))
	if d.world.DiskSyncTime > 0 {
		duration = d.world.DiskSyncTime * time.Duration(max(d.slowdown, 1))
	}
	if d.world.Defect.AcknowledgeBeforeSync {
		duration += writeBackDelay
	}
	generation, count := d.generation, len(d.queue)
	d.world.schedule(duration, func() { d.finishSync(p, generation, count) })
}

// finishSync writes the first count batches of the queue to the disk and executes the commands that
// waited for them.
func (d *disk) finishSync(p *process, generation, count int) {
	if d.generation != generation {
		return
	}
	if d.stalled || p.frozen {
		d.world.schedule(50*time.Millisecond, func() { d.finishSync(p, generation, count) })
		return
	}
	done := d.queue[:count:count]
	d.queue = d.queue[count:]
	d.syncing = false
	for _, s := range done {
		for _, written := range s.Records {
			if written.Delete {
				delete(d.records, written.Key)
				d.sortedKeyCache = nil
				continue
			}
			if _, known := d.records[written.Key]; !known {
				d.sortedKeyCache = nil
			}
			d.records[written.Key] = written.Value
			d.recordWriteTime(written.Key)
		}
	}
	for _, s := range done {
		p.execute(s.After)
	}
	p.deliver(event.Synced{Batch: done[count-1].Batch})
	d.startSync(p)
}
