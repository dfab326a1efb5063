package targets

import (
	"time"

	"dunlinwell/internal/base/ids"
)

// slowStartTolerance is by how much the ends of the slow start may differ that two
// heartbeats imply without counting as a change. It covers the delay of a heartbeat
// on its way, as the time left is relative to when it was sent.
const slowStartTolerance = 300 * time.Millisecond

// Merge takes in updates from a target or from another copy and returns the targets
// that changed. Among them are previous owners of an address that now belongs to
// another target.
func (t *Table) Merge(now ids.Time, updates ...Target) []Target {
	return t.MergeAsOf(now, now, updates...)
}

// MergeAsOf is Merge for updates that may have been delayed: they prove that a target
// was alive at asOf, not that it is alive now.
func (t *Table) MergeAsOf(now, asOf ids.Time, updates ...Target) []Target {
	var changed []Target
	for _, update := range updates {
		changed = append(changed, t.mergeOne(now, asOf, update)...)
	}
	return changed
}

// mergeOne takes in one update and returns the targets that changed by it.
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
	// Another copy may have known the target for longer.
	e.firstSeen = min(e.firstSeen, firstSeen)
	if !update.Dead {
		e.lastHeard = asOf
	}
	update = t.withProxySequence(now, e, update)
	e.Target, e.latestSequence = update, update.Sequence
	e.slowStartUntil = now.Add(millis(update.SlowStartMillis))
	t.version++
	changed := []Target{update}
	if isNew && !update.Dead {
		changed = append(changed, t.displaceAddress(update)...)
	}
	return changed
}

// refuteDeath answers another copy's declaration that a target is gone from which
// this copy has had a later heartbeat: it returns the target at the sequence number
// of that heartbeat, which replaces the declaration everywhere. Any other update that
// is no newer than the entry changes nothing.
func (t *Table) refuteDeath(e *entry, update Target) []Target {
	if !t.Incremental || !e.refutes(update) {
		return nil
	}
	e.Target.Sequence, e.ProxySequence = e.latestSequence, e.latestSequence
	t.version++
	t.proxyVersion++
	return []Target{e.Target}
}

// displaceAddress declares gone whoever had the address of a target before it: two
// live processes can't listen at one address.
func (t *Table) displaceAddress(owner Target) []Target {
	var displaced []Target
	for _, id := range t.sortedIDs() {
		e := t.entries[id]
		if e.Address == owner.Address && id != owner.Instance && !e.Dead {
			t.markGone(e)
			displaced = append(displaced, e.Target)
		}
	}
	return displaced
}

// latest returns the target at the sequence number of its latest heartbeat, which
// Target has only if that heartbeat was passed on.
func (e *entry) latest() Target {
	target := e.Target
	target.Sequence = max(target.Sequence, e.latestSequence)
	return target
}

// isRenewal reports whether a later heartbeat changes nothing that is worth passing
// on: it may differ in sequence numbers, age, occupancy and the time left of a slow
// start that was known already.
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

// extendsSlowStart reports whether an update asks for reduced load for longer than
// was known.
func (e *entry) extendsSlowStart(now ids.Time, update Target) bool {
	if update.SlowStartMillis == 0 {
		return false
	}
	until := now.Add(millis(update.SlowStartMillis))
	return until.Sub(e.slowStartUntil) > slowStartTolerance
}

// refutes reports whether an update declares gone a target that has sent this copy a
// heartbeat after the one by which the other copy judged.
func (e *entry) refutes(update Target) bool {
	return update.Dead && !e.Dead && update.Incarnation == e.Incarnation &&
		update.Sequence >= e.Target.Sequence && update.Sequence < e.latestSequence
}
