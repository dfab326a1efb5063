package simulator

import (
	"fmt"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/configuration"
)

// emptyZone empties a zone as an operator does, and refills it later.
func (w *World) emptyZone() {
	if w.operators.drainedZone != "" {
		return
	}
	c := w.Plan.Zone(w.random.IntN(w.Plan.Zones))
	w.operators.drainedZone = c
	w.setEmptied(c, true, func() {
		w.later(w.between(8*time.Second, 14*time.Second), func() { w.refill() })
	})
}

func (w *World) refill() {
	c := w.operators.drainedZone
	if c == "" {
		return
	}
	w.Checker.ZoneRestored(c, w.clock())
	w.setEmptied(c, false, func() {
		// Again, for an emptying that was accepted between asking and now.
		w.Checker.ZoneRestored(c, w.clock())
		w.operators.drainedZone = ""
	})
}

func (w *World) setEmptied(c ids.Name, on bool, then func()) {
	w.operators.n++
	asked := w.clock()
	w.change(w.work().Drain(fmt.Sprintf("empty-%d", w.operators.n), c, on), func(r configuration.Result) {
		// Answers may overtake one another; revisions don't.
		if on && r.Revision > w.operators.zoneAt {
			w.Checker.ZoneDrained(c, asked, w.clock())
		}
		w.operators.zoneAt = max(w.operators.zoneAt, r.Revision)
		then()
	})
}
