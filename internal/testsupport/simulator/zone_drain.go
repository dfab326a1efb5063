package simulator

import (
	"fmt"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/configuration"
)

// drainZone drains a zone as an operator does, and restores it later. One zone is drained at a
// time.
func (w *World) drainZone() {
	if w.operators.drainedZone != "" {
		return
	}
	zone := w.Plan.Zone(w.random.IntN(w.Plan.Zones))
	w.operators.drainedZone = zone
	w.setDrained(zone, true, func() {
		w.schedule(w.randomDuration(8*time.Second, 14*time.Second), func() { w.restoreZone() })
	})
}

// restoreZone ends the draining of the zone that is drained, if any.
func (w *World) restoreZone() {
	zone := w.operators.drainedZone
	if zone == "" {
		return
	}
	w.Checker.ZoneRestored(zone, w.wallTime())
	w.setDrained(zone, false, func() {
		// Once more, for a draining that was accepted since this was sent.
		w.Checker.ZoneRestored(zone, w.wallTime())
		w.operators.drainedZone = ""
	})
}

// setDrained changes whether a zone is drained, and calls then when that is accepted.
func (w *World) setDrained(zone ids.Name, drain bool, then func()) {
	w.operators.serial++
	asked := w.wallTime()
	w.sendChange(w.changes().Drain(fmt.Sprintf("empty-%d", w.operators.serial), zone, drain), func(r configuration.Result) {
		// Responses may overtake one another; revisions don't.
		if drain && r.Revision > w.operators.zoneRevision {
			w.Checker.ZoneDrained(zone, asked, w.wallTime())
		}
		w.operators.zoneRevision = max(w.operators.zoneRevision, r.Revision)
		then()
	})
}
