package targets

import (
	"maps"
	"slices"
	"time"

	"dunlinwell/internal/base/ids"
)

// Table is one copy of all targets.
type Table struct {
	entries map[ids.InstanceID]*entry
	// version counts all changes that Merge, Tick and Forget made.
	version uint64
	// proxyVersion counts the changes that proxies see.
	proxyVersion uint64
	// lastTick is when Tick was last called; 0 before the first call.
	lastTick ids.Time
	// Incremental suppresses heartbeats that only renew an entry: they are recorded
	// and not returned by Merge, so that the traffic between registries grows with
	// changes and not with heartbeats.
	Incremental bool
	// Self is the registry that owns this copy; empty in a proxy.
	Self ids.DaemonID
}

// entry is what a table knows of one target.
type entry struct {
	// Target is the target as this copy last passed it on.
	Target
	// lastHeard is when the target was last known to be alive.
	lastHeard ids.Time
	// firstSeen is since when any copy has known this incarnation.
	firstSeen ids.Time
	// latestSequence is the sequence number of the latest heartbeat, whether or not it
	// changed anything.
	latestSequence ids.Sequence
	// slowStartUntil is until when the target asks for reduced load.
	slowStartUntil ids.Time
	// registrarLost says that the target's registrar isn't running, so that the
	// target may well be alive and unable to say so.
	registrarLost bool
}

// New makes an empty table.
func New() *Table { return &Table{entries: map[ids.InstanceID]*entry{}} }

// All returns every target in order of instance, with AgeMillis and SlowStartMillis
// as of now.
func (t *Table) All(now ids.Time) []Target {
	out := make([]Target, 0, len(t.entries))
	for _, id := range t.sortedIDs() {
		e := t.entries[id]
		target := e.Target
		target.AgeMillis = millisBetween(e.firstSeen, now)
		target.SlowStartMillis = millisBetween(now, e.slowStartUntil)
		out = append(out, target)
	}
	return out
}

// Get returns a target with AgeMillis as of now. SlowStartMillis is as it was
// announced. The second result is false if the target isn't known.
func (t *Table) Get(now ids.Time, id ids.InstanceID) (Target, bool) {
	e, ok := t.entries[id]
	if !ok {
		return Target{}, false
	}
	target := e.Target
	target.AgeMillis = millisBetween(e.firstSeen, now)
	return target, true
}

// LatestSequence returns the sequence number of a target's latest heartbeat, or 0 if
// the target isn't known.
func (t *Table) LatestSequence(id ids.InstanceID) ids.Sequence {
	if e, ok := t.entries[id]; ok {
		return e.latest().Sequence
	}
	return 0
}

// Len returns the number of known targets, gone ones included.
func (t *Table) Len() int { return len(t.entries) }

// Version returns a number that grows with each change.
func (t *Table) Version() uint64 { return t.version }

// sortedIDs returns the known targets in order of instance, so that whatever is done
// to all of them is done in the same order in each run.
func (t *Table) sortedIDs() []ids.InstanceID { return slices.Sorted(maps.Keys(t.entries)) }

// markGone declares a target gone.
func (t *Table) markGone(e *entry) {
	e.Dead = true
	t.version++
	t.proxyVersion++
}

// millisBetween is the time from start to end in whole milliseconds, or 0 if end is
// before start.
func millisBetween(start, end ids.Time) uint64 {
	return uint64(max(end.Sub(start), 0) / time.Millisecond)
}

// millis is a number of milliseconds, as targets carry them, as a duration.
func millis(n uint64) time.Duration { return time.Duration(n) * time.Millisecond }
