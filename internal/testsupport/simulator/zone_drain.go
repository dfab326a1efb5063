package simulator

import (
	"fmt"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/configuration"
)

// drainZone drains a random zone and restores it later. At most one zone is drained at a time.
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

// restoreZone restores the drained zone, if any.
func (w *World) restoreZone() {
	zone := w.operators.drainedZone
	if zone == "" {
		return
	}
	w.Checker.ZoneRestored(zone, w.wallTime())
	w.setDrained(zone, false, func() {
		// Record it again, since a drain may have been accepted after this change was sent.
		w.Checker.ZoneRestored(zone, w.wallTime())
		w.operators.drainedZone = ""
	})
}

// setDrained drains or restores a zone, and calls then when the change is accepted.
func (w *World) setDrained(zone ids.Name, drain bool, then func()) {
	w.operators.serial++
	sentAt := w.wallTime()
	w.sendChange(w.changes().Drain(fmt.Sprintf("empty-%d", w.operators.serial), zone, drain), func(r configuration.Result) {
		// Responses may arrive out of order, so compare revisions.
		if drain && r.Revision > w.operators.zoneRevision {
			w.Checker.ZoneDrained(zone, sentAt, w.wallTime())
		}
		w.operators.zoneRevision = max(w.operators.zoneRevision, r.Revision)
		then()
	})
}
