package simulator

import (
	"fmt"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/configuration"
)

// emptyZone empties a zone as an operator does, and refills it later.
func (w *World) emptyZone() {
	if w.office.emptie != "" {
		return
	}
	c := w.Plan.Zone(w.random.IntN(w.Plan.Zones))
	w.office.emptie = c
	w.setEmptied(c, true, func() {
		w.later(w.between(8*time.Second, 14*time.Second), func() { w.refill() })
	})
}

func (w *World) refill() {
	c := w.office.emptie
	if c == "" {
		return
	}
	w.Truth.Refill(c, w.clock())
	w.setEmptied(c, false, func() {
		// Again, for an emptying that was accepted between asking and now.
		w.Truth.Refill(c, w.clock())
		w.office.emptie = ""
	})
}

func (w *World) setEmptied(c ids.Name, on bool, then func()) {
	w.office.n++
	asked := w.clock()
	w.change(w.work().Emptied(fmt.Sprintf("empty-%d", w.office.n), c, on), func(r configuration.Result) {
		// Answers may overtake one another; revisions don't.
		if on && r.Revision > w.office.zoneAt {
			w.Truth.Empty(c, asked, w.clock())
		}
		w.office.zoneAt = max(w.office.zoneAt, r.Revision)
		then()
	})
}
