package simulator

import (
	"fmt"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/policy"
)

// emptyCell empties a cell as an operator does, and refills it later.
func (w *World) emptyCell() {
	if w.office.emptie != "" {
		return
	}
	c := w.Plan.Cell(w.dice.IntN(w.Plan.Cells))
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
	w.change(w.work().Emptied(fmt.Sprintf("empty-%d", w.office.n), c, on), func(r policy.Result) {
		// Answers may overtake one another; revisions don't.
		if on && r.Revision > w.office.cellAt {
			w.Truth.Empty(c, asked, w.clock())
		}
		w.office.cellAt = max(w.office.cellAt, r.Revision)
		then()
	})
}
