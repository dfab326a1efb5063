package targets

import (
	"time"

	"dunlinwell/internal/base/ids"
)

// latest gives the entry as of its target's last word.
func (e *entry) latest() Target {
	t := e.Target
	t.Sequence = max(t.Sequence, e.latestSequence)
	return t
}

// slowStartTolerance is how far two words on the same cold time may differ.
const slowStartTolerance = 300 * time.Millisecond

// isRenewal tells whether a later word says nothing new of its target.
func (e *entry) isRenewal(now ids.Time, update Target) bool {
	known := e.Target
	if e.extendsSlowStart(now, update) {
		return false
	}
	known.ProxySequence = update.ProxySequence
	known.Sequence, known.AgeMillis, known.SlowStartMillis, known.Occupancy = update.Sequence, update.AgeMillis, update.SlowStartMillis, update.Occupancy
	return known == update
}

// extendsSlowStart tells whether a later word says that its target bears little for longer
// than was known.
func (e *entry) extendsSlowStart(now ids.Time, update Target) bool {
	return update.SlowStartMillis > 0 && now.Add(time.Duration(update.SlowStartMillis)*time.Millisecond).Sub(e.slowStartUntil) > slowStartTolerance
}
