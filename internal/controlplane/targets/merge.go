package targets

import (
	"time"

	"dunlinwell/internal/base/ids"
)

// slowStartTolerance is the largest difference between the ends of slow start computed from two
// heartbeats that doesn't count as a change. It allows for network delay, because a heartbeat
// carries the remaining time relative to when it was sent.
const slowStartTolerance = 300 * time.Millisecond

// Merge merges updates from a target or from another copy and returns the targets that changed.
// These include the previous owners of an address that another target has taken over.
func (t *Table) Merge(now ids.Time, updates ...Target) []Target {
	return t.MergeAsOf(now, now, updates...)
}

// MergeAsOf is like Merge for updates that may have been delayed: they prove that a target was alive
// at asOf, not that it is alive now.
func (t *Table) MergeAsOf(now, asOf ids.Time, updates ...Target) []Target {
	var changed []Target
	for _, update := range updates {
		changed = append(changed, t.mergeOne(now, asOf, update)...)
	}
	return changed
}

// mergeOne merges one update and returns the targets that it changed.
func (t *Table) mergeOne(now, asOf ids.Time, update Target) []Target {
	e, known := t.entries[update.Instance]
	if known && !update.Newer(e.latest()) {
		return t.refuteDeath(e, update)
	}
	if known && t.Incremental && e.isRenewal(now, update) {
		e.latestSequence, e.lastHeard = update.Sequence, max(e.lastHeard, asOf)
		return nil
	}
	firstSeen := now.Add(-millis(update.AgeMillis))
	isNew := !known || e.Incarnation != update.Incarnation
	if isNew {
		e = &entry{firstSeen: firstSeen}
		t.entries[update.Instance] = e
	}
	// Another copy may have known the target for longer than this one.
	e.firstSeen = min(e.firstSeen, firstSeen)
	if !update.Dead || isNew {
		// The retention of a target that was never seen alive begins now.
		e.lastHeard = asOf
	}
	update = t.withProxySequence(now, e, update)
	e.Target, e.latestSequence = update, update.Sequence
	e.recordDeparture(now)
	e.slowStartUntil = now.Add(millis(update.SlowStartMillis))
	t.version++
	changed := []Target{update}
	if isNew && !update.Dead {
		changed = append(changed, t.displaceAddress(update)...)
	}
	return changed
}

// refuteDeath refutes another copy's declaration that a target is dead if this copy has received a
// later heartbeat. It returns the target with the sequence number of that heartbeat, which replaces
// the declaration in all copies. Any other update that isn't newer than the entry is ignored.
func (t *Table) refuteDeath(e *entry, update Target) []Target {
	if !t.Incremental || !e.refutes(update) {
		return nil
	}
	e.Target.Sequence, e.ProxySequence = e.latestSequence, e.latestSequence
	t.version++
	t.proxyVersion++
	return []Target{e.Target}
}

// displaceAddress declares dead the previous targets at the address of a new one: two live processes
// can't listen on the same address.
func (t *Table) displaceAddress(owner Target) []Target {
	var displaced []Target
	for _, id := range t.sortedIDs() {
		e := t.entries[id]
		if e.Address == owner.Address && id != owner.Instance && !e.Dead {
			t.markDead(e)
			displaced = append(displaced, e.Target)
		}
	}
	return displaced
}

// latest returns the target with the sequence number of its latest heartbeat. The sequence number
// in Target is lower if that heartbeat wasn't forwarded.
func (e *entry) latest() Target {
	target := e.Target
	target.Sequence = max(target.Sequence, e.latestSequence)
	return target
}

// isRenewal reports whether a later heartbeat contains no change that must be forwarded. It may
// differ in sequence numbers, age, occupancy and the remaining time of a known slow start.
func (e *entry) isRenewal(now ids.Time, update Target) bool {
	if e.extendsSlowStart(now, update) {
		return false
	}
	known := e.Target
	known.Sequence, known.ProxySequence = update.Sequence, update.ProxySequence
	known.AgeMillis, known.SlowStartMillis = update.AgeMillis, update.SlowStartMillis
	known.Occupancy = update.Occupancy
	return known == update
}

// extendsSlowStart reports whether the slow start in an update ends later than the known one.
func (e *entry) extendsSlowStart(now ids.Time, update Target) bool {
	if update.SlowStartMillis == 0 {
		return false
	}
	until := now.Add(millis(update.SlowStartMillis))
	return until.Sub(e.slowStartUntil) > slowStartTolerance
}

// refutes reports whether an update declares the target dead although this copy has received a later
// heartbeat than the one that the declaration is based on.
func (e *entry) refutes(update Target) bool {
	return update.Dead && !e.Dead && update.Incarnation == e.Incarnation &&
		update.Sequence >= e.Target.Sequence && update.Sequence < e.latestSequence
}
