// Package target table keeps the targets: soft state, told by the targets themselves,
// merged by incarnation and sequence wherever two copies meet.
package targets

import (
	"maps"
	"slices"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/transport/wire"
)

// Target is one target as it last announced itself.
type Target struct {
	Instance    ids.Instance    `json:"instance"`
	Incarnation ids.Incarnation `json:"incarnation"`
	Sequence    ids.Sequence    `json:"sequence"`
	Service     ids.Name        `json:"service"`
	Address     ids.Address     `json:"address"`
	Cell        ids.Name        `json:"cell"`
	Leaving     bool            `json:"leaving"`
	Gone        bool            `json:"gone"`
	Warmth      float64         `json:"warmth"`
	Occupancy   int64           `json:"occupancy"`
	Capacity    int64           `json:"capacity"`
	Interval    uint32          `json:"interval_ms"`
	// Age is how long this incarnation has been known, in milliseconds, when
	// the entry was last handed on.
	Age uint64 `json:"age_ms"`
	// Cold is how much longer, in milliseconds, the target says it bears little,
	// as of when the entry was last handed on.
	Cold uint64 `json:"cold_ms"`
	// Keeper is the registry that the target last spoke to, in which of its runs:
	// while it is there, the others needn't be told that the target is.
	Keeper ids.Daemon `json:"-"`
	Run    ids.RunID  `json:"-"`
	// Material is the sequence at which the target last changed in what proxies go
	// by; zero from one that doesn't say.
	Material ids.Sequence `json:"-"`
}

// Newer tells whether t replaces u. A verdict of "gone" holds until the
// target itself says something later.
func (t Target) Newer(u Target) bool {
	if t.Incarnation != u.Incarnation {
		return t.Incarnation > u.Incarnation
	}
	if t.Sequence != u.Sequence {
		return t.Sequence > u.Sequence
	}
	return t.Gone && !u.Gone
}

// Usable tells whether new work may go to the target at all.
func (t Target) Usable() bool { return !t.Gone && !t.Leaving }

// Share carries targets between registries.
type Update struct{ List []Target }

var _ = wire.Register(70, Update{})

// Yard is a copy of all targets.
type Table struct {
	list    map[ids.Instance]*entry
	version uint64
	// public counts the changes that matter to proxies.
	public uint64
	last   ids.Time
	// Thrifty: a word that says nothing new but that its target is there is noted
	// and not handed on, so that what is told of targets doesn't grow with beats.
	Thrifty bool
	// Self is the registry whose copy this is, if it is one's.
	Self ids.Daemon
}

type entry struct {
	Target
	heard ids.Time
	born  ids.Time
	// newest is the sequence of the target's last word, whether or not it said
	// anything new; cold is until when it bears little.
	newest ids.Sequence
	cold   ids.Time
	// orphan: its keeper isn't there, so that its silence may be the keeper's.
	orphan bool
}

// New makes an empty target table.
func New() *Table { return &Table{list: map[ids.Instance]*entry{}} }

// Silences is how many intervals of silence count as gone.
const Silences = 3

// Merge takes what a target or another copy says; it gives what changed,
// among it earlier owners of an address that now is another's.
func (y *Table) Merge(now ids.Time, list ...Target) []Target {
	return y.MergeAsOf(now, now, list...)
}

// MergeAsOf is Merge of news that may have waited on its way since a time: a
// target that was alive then needn't be now.
func (y *Table) MergeAsOf(now, since ids.Time, list ...Target) []Target {
	var changed []Target
	for _, t := range list {
		e, known := y.list[t.Instance]
		if known && !t.Newer(e.last()) {
			if y.Thrifty && e.insists(t) {
				// Others go by a verdict that this copy knows to be wrong.
				e.Target.Sequence, e.Target.Material = e.newest, e.newest
				y.version++
				y.public++
				changed = append(changed, e.Target)
			}
			continue
		}
		if known && y.Thrifty && e.alike(now, t) {
			e.newest, e.heard = t.Sequence, max(e.heard, since)
			continue
		}
		fresh := !known || e.Incarnation != t.Incarnation
		if fresh {
			e = &entry{born: now.Add(-time.Duration(t.Age) * time.Millisecond)}
			y.list[t.Instance] = e
		} else if b := now.Add(-time.Duration(t.Age) * time.Millisecond); b < e.born {
			// Another copy has known it for longer.
			e.born = b
		}
		if !t.Gone {
			e.heard = since
		}
		t = y.material(now, e, t)
		e.Target, e.newest = t, t.Sequence
		e.cold = now.Add(time.Duration(t.Cold) * time.Millisecond)
		y.version++
		changed = append(changed, t)
		if fresh && !t.Gone {
			changed = append(changed, y.displace(t)...)
		}
	}
	return changed
}

// displace ends whoever had the address before its newer owner.
func (y *Table) displace(t Target) []Target {
	var out []Target
	for _, id := range slices.Sorted(maps.Keys(y.list)) {
		e := y.list[id]
		if e.Address == t.Address && id != t.Instance && !e.Gone {
			e.Gone = true
			y.version++
			y.public++
			out = append(out, e.Target)
		}
	}
	return out
}

// Clock counts those silent for too long as gone, and gives them.
func (y *Table) Clock(now ids.Time) []Target {
	// A gap in our own clock events is our silence, not the targets'.
	if y.last != 0 && now.Since(y.last) > time.Second {
		y.Excuse(now)
	}
	y.last = now
	return y.Lapse(now)
}

// Excuse counts silence from now on: until now nothing could be heard here.
func (y *Table) Excuse(now ids.Time) {
	for _, e := range y.list {
		e.heard = now
	}
}

// Lapse counts the silent without minding a gap of our own. For a proxy, which
// hears all targets anew in the first push after it woke, that is the safer way.
func (y *Table) Lapse(now ids.Time) []Target {
	var out []Target
	for _, id := range slices.Sorted(maps.Keys(y.list)) {
		e := y.list[id]
		silences := time.Duration(Silences)
		if e.orphan {
			silences = orphanSilences
		}
		if e.Gone || now.Since(e.heard) <= silences*time.Duration(e.Interval)*time.Millisecond {
			continue
		}
		e.Gone = true
		y.version++
		y.public++
		out = append(out, e.Target)
	}
	return out
}

// Forget drops those gone for a good while; a target table must not grow for ever.
func (y *Table) Forget(now ids.Time, after time.Duration) {
	for id, e := range y.list {
		if e.Gone && now.Since(e.heard) > after {
			delete(y.list, id)
			y.version++
			y.public++
		}
	}
}

// All gives every target, in order of instance, with its age as of now.
func (y *Table) All(now ids.Time) []Target {
	out := make([]Target, 0, len(y.list))
	for _, id := range slices.Sorted(maps.Keys(y.list)) {
		t := y.list[id].Target
		t.Age = uint64(max(now.Since(y.list[id].born), 0) / time.Millisecond)
		t.Cold = uint64(max(y.list[id].cold.Since(now), 0) / time.Millisecond)
		out = append(out, t)
	}
	return out
}

// Get finds a target, with its age as of now.
func (y *Table) Get(now ids.Time, id ids.Instance) (Target, bool) {
	e, ok := y.list[id]
	if !ok {
		return Target{}, false
	}
	t := e.Target
	t.Age = uint64(max(now.Since(e.born), 0) / time.Millisecond)
	return t, true
}

// Newest gives the sequence of a target's last word.
func (y *Table) Newest(id ids.Instance) ids.Sequence {
	if e, ok := y.list[id]; ok {
		return e.last().Sequence
	}
	return 0
}

// Len is how many targets are known, gone ones among them.
func (y *Table) Len() int { return len(y.list) }

// Version grows with each change.
func (y *Table) Version() uint64 { return y.version }
