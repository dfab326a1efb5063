package simulator

import (
	"time"

	"dunlinwell/internal/base/ids"
)

// freeze stops it for a while; its connections stay open.
func (t *target) freeze(d time.Duration) {
	if !t.up || t.frozen {
		return
	}
	t.w.trace("%s freezes for %s", t.id, d)
	t.frozen = true
	gen := t.generation
	t.w.later(d, func() {
		if t.generation != gen {
			return
		}
		t.w.trace("%s wakes", t.id)
		t.frozen = false
		list := t.wait
		t.wait = nil
		for _, f := range list {
			f()
		}
	})
}

// awake does something now, or once the target wakes; never if it crashed.
func (t *target) awake(f func()) {
	gen := t.generation
	switch {
	case !t.up:
	case t.frozen:
		t.wait = append(t.wait, func() {
			if t.generation == gen {
				f()
			}
		})
	default:
		f()
	}
}

// silenceTimeout is how long without an announcement counts as gone.
const silenceTimeout = 3 * (announceEvery + 100*time.Millisecond)

// knownFor is how long the core had known at some time that this target was
// leaving, or gone for its silence.
func (t *target) knownFor(at ids.Time) time.Duration {
	known := time.Duration(0)
	if t.left != 0 {
		known = at.Sub(t.left)
	}
	if t.lastAcknowledged != 0 {
		known = max(known, at.Sub(t.lastAcknowledged)-silenceTimeout)
	}
	return known
}
