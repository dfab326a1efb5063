package targets

import (
	"time"

	"dunlinwell/internal/base/ids"
)

// last gives the entry as of its target's last word.
func (e *entry) last() Target {
	t := e.Target
	t.Sequence = max(t.Sequence, e.newest)
	return t
}

// coldSlack is how far two words on the same cold time may differ.
const coldSlack = 300 * time.Millisecond

// alike tells whether a later word says nothing new of its target.
func (e *entry) alike(now ids.Time, t Target) bool {
	u := e.Target
	if e.colder(now, t) {
		return false
	}
	u.Material = t.Material
	u.Sequence, u.Age, u.Cold, u.Occupancy = t.Sequence, t.Age, t.Cold, t.Occupancy
	return u == t
}

// colder tells whether a later word says that its target bears little for longer
// than was known.
func (e *entry) colder(now ids.Time, t Target) bool {
	return t.Cold > 0 && now.Add(time.Duration(t.Cold)*time.Millisecond).Since(e.cold) > coldSlack
}
