package simulator

import (
	"maps"
	"slices"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
)

// Fetch finds a record that was synced.
func (d *disk) Get(key ids.RegisterKey) ([]byte, bool) {
	raw, ok := d.records[key]
	return raw, ok
}

// After lists records of items behind a key.
func (d *disk) Scan(key ids.RegisterKey, n int) []event.Record {
	keys := d.sortedKeys()
	from, found := slices.BinarySearch(keys, key)
	if found {
		from++
	}
	var out []event.Record
	for _, k := range keys[from:] {
		if k >= "item0" || len(out) == n {
			break
		}
		out = append(out, event.Record{Key: k, Value: d.records[k]})
	}
	return out
}

// sortedKeys gives all keys in order, sorted anew only after a key was added or
// taken away, since a start reads the disk record by record.
func (d *disk) sortedKeys() []ids.RegisterKey {
	if d.sorted == nil || len(d.sorted) != len(d.records) {
		d.sorted = slices.Sorted(maps.Keys(d.records))
	}
	return d.sorted
}

// disk is a store's data folder.
type disk struct {
	w       *World
	store   uint64
	run     uint64
	records map[ids.RegisterKey][]byte
	// sorted are the keys of the records in order, nil where not known.
	sorted  []ids.RegisterKey
	queue   []event.Sync
	busy    bool
	stalled bool
	// slow is how many times as long a sync takes; 0 for an ordinary one.
	slow       int
	generation int
	ages
}

func newDisk(w *World) *disk { return &disk{w: w, records: map[ids.RegisterKey][]byte{}} }

func (d *disk) open(p *process) {
	if d.store == 0 {
		d.store = d.w.random.Uint64()>>24 | 1
	}
	d.run++
	d.generation++
	d.queue, d.busy = nil, false
	d.opened = d.w.now
	d.prune(p)
}

// crash loses what was not synced. A planted defect lets the disk lie.
func (d *disk) crash() {
	d.generation++
	d.queue, d.busy = nil, false
	if d.w.Defect.DiskForgets {
		for k := range d.records {
			if d.w.random.IntN(2) == 0 && k != "meta/roster" {
				delete(d.records, k)
			}
		}
	}
}

// wipe loses the disk: what comes next is another store.
func (d *disk) wipe() {
	*d = disk{w: d.w, records: map[ids.RegisterKey][]byte{}, generation: d.generation + 1}
}

// writeBack is how long a disk that lies holds back what it says it has synced.
const writeBack = 50 * time.Millisecond

func (d *disk) sync(p *process, s event.Sync) {
	if d.w.Defect.SyncLate {
		p.perform(s.After)
		s.After = nil
	}
	d.queue = append(d.queue, s)
	d.next(p)
}

// next syncs all that waits in one go, as the real committer does.
func (d *disk) next(p *process) {
	if d.busy || len(d.queue) == 0 {
		return
	}
	d.busy = true
	took := d.w.between(200*time.Microsecond, 4*time.Millisecond) * time.Duration(max(d.slow, 1))
	if d.w.DiskSync > 0 {
		took = d.w.DiskSync * time.Duration(max(d.slow, 1))
	}
	if d.w.Defect.SyncLate {
		took += writeBack
	}
	gen, n := d.generation, len(d.queue)
	d.w.later(took, func() { d.synced(p, gen, n) })
}

func (d *disk) synced(p *process, gen, n int) {
	if d.generation != gen {
		return
	}
	if d.stalled || p.frozen {
		d.w.later(50*time.Millisecond, func() { d.synced(p, gen, n) })
		return
	}
	done := d.queue[:n:n]
	d.queue = d.queue[n:]
	d.busy = false
	for _, s := range done {
		for _, r := range s.Records {
			if r.Delete {
				delete(d.records, r.Key)
				d.sorted = nil
				continue
			}
			if _, known := d.records[r.Key]; !known {
				d.sorted = nil
			}
			d.records[r.Key] = r.Value
			d.age(r.Key)
		}
	}
	for _, s := range done {
		p.perform(s.After)
	}
	p.take(event.Synced{Batch: done[n-1].Batch})
	d.next(p)
}
