package targets

import (
	"maps"
	"slices"
	"time"

	"dunlinwell/internal/base/ids"
)

// Table is one copy of the table of all targets.
type Table struct {
	entries map[ids.InstanceID]*entry
	// version counts all changes by Merge, Tick and PurgeDead.
	version uint64
	// proxyVersion counts the changes that are visible to proxies.
	proxyVersion uint64
	// lastTick is when Tick was last called; 0 before the first call.
	lastTick ids.Time
	// Incremental suppresses the forwarding of heartbeats that only renew an entry: they are
	// recorded but not returned by Merge, so that the traffic between registries depends on the
	// number of changes, not of heartbeats.
	Incremental bool
	// Self is the registry that owns this copy; empty for a proxy.
	Self ids.DaemonID
}

// entry is the state of one target in a table.
type entry struct {
	// Target is the target as this copy last forwarded it.
	Target
	// lastHeard is when the target was last known to be alive.
	lastHeard ids.Time
	// firstSeen is when this incarnation was first seen by any copy.
	firstSeen ids.Time
	// departedAt is when this copy first saw that the target accepts no new requests; 0 while it
	// accepts them.
	departedAt ids.Time
	// latestSequence is the sequence number of the latest heartbeat, including renewals.
	latestSequence ids.Sequence
	// slowStartUntil is when the target's slow start ends.
	slowStartUntil ids.Time
	// registrarLost reports whether the target's registrar isn't running, so that the target may
	// be alive without this copy being informed.
	registrarLost bool
}

// New returns an empty table.
func New() *Table { return &Table{entries: map[ids.InstanceID]*entry{}} }

// All returns all targets sorted by instance, with AgeMillis and SlowStartMillis as of now.
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

// Get returns a target with AgeMillis as of now and SlowStartMillis as announced. The second result
// is false if the target isn't known.
func (t *Table) Get(now ids.Time, id ids.InstanceID) (Target, bool) {
	e, ok := t.entries[id]
	if !ok {
		return Target{}, false
	}
	target := e.Target
	target.AgeMillis = millisBetween(e.firstSeen, now)
	return target, true
}

// LatestSequence returns the sequence number of a target's latest heartbeat, or 0 if the target
// isn't known.
func (t *Table) LatestSequence(id ids.InstanceID) ids.Sequence {
	if e, ok := t.entries[id]; ok {
		return e.latest().Sequence
	}
	return 0
}

// DepartedAt returns when this copy first saw that a target accepts no new requests, or 0 if it
// accepts them or isn't known.
func (t *Table) DepartedAt(id ids.InstanceID) ids.Time {
	if e, ok := t.entries[id]; ok {
		return e.departedAt
	}
	return 0
}

// Len returns the number of known targets, including dead ones.
func (t *Table) Len() int { return len(t.entries) }

// Version returns a number that increases with each change.
func (t *Table) Version() uint64 { return t.version }

// sortedIDs returns the IDs of the known targets in sorted order, so that iterating over the
// targets is deterministic.
func (t *Table) sortedIDs() []ids.InstanceID { return slices.Sorted(maps.Keys(t.entries)) }

// recordDeparture records since when the target accepts no new requests.
func (e *entry) recordDeparture(now ids.Time) {
	switch {
	case e.Usable():
		e.departedAt = 0
	case e.departedAt == 0:
		e.departedAt = now
	}
}

// markDead declares a target dead and counts the change.
func (t *Table) markDead(e *entry) {
	e.Dead = true
	t.version++
	t.proxyVersion++
}

// millisBetween returns the time from start to end in whole milliseconds, or 0 if end is before
// start.
func millisBetween(start, end ids.Time) uint64 {
	return uint64(max(end.Sub(start), 0) / time.Millisecond)
}

// millis converts a number of milliseconds to a duration.
func millis(n uint64) time.Duration { return time.Duration(n) * time.Millisecond }
