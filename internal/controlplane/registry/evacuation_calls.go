package registry

import (
	"encoding/json"
	"net/http"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/configuration"
)

// maxOrderAge is how long a zone order may have waited for this process to run: its
// caller has sent it again by then, and may have ordered something else since.
const maxOrderAge = time.Second

// overtakenOrder is the answer to a zone order that a later change may have overtaken.
const overtakenOrder = "the cell was changed meanwhile; send the order again if it is still wanted"

// handleZoneOrder submits an order to evacuate a zone or to end its evacuation. It takes
// effect only if the zone's version is still the one known here: zone orders carry no id
// by which a late copy could be recognized.
func (r *Registry) handleZoneOrder(now ids.Time, call ZoneOrderCall) {
	if r.mayHaveBeenFrozen(now) {
		r.replyOvertaken(call.ID)
		return
	}
	order := configuration.ZoneEvacuationRequest{
		Zone:            call.Zone,
		Region:          call.Region,
		Evacuate:        call.Evacuate,
		ExpectedVersion: r.configuration.document.ZoneVersion(call.Zone),
	}
	encoded, err := json.Marshal(order)
	if err != nil {
		r.replyError(call.ID, http.StatusBadRequest, err.Error())
		return
	}
	r.submitChange(now, call.ID, configuration.OpSetZoneEvacuation, encoded, func(now ids.Time, result configuration.Result) {
		if len(result.VersionConflicts) == 0 {
			r.replyWithResult(call.ID)(now, result)
			return
		}
		r.replyOvertaken(call.ID)
		r.refreshConfiguration(now)
	})
}

// replyOvertaken answers an order that had no effect. It is no rejection, as an earlier
// copy of the order may have taken effect.
func (r *Registry) replyOvertaken(id uint64) {
	r.replyRetry(id, http.StatusServiceUnavailable, overtakenOrder)
}

// mayHaveBeenFrozen tells whether what arrives now may have waited while this process
// was frozen.
func (r *Registry) mayHaveBeenFrozen(now ids.Time) bool {
	ticksAreLate := r.lastTick != 0 && now.Sub(r.lastTick) > maxOrderAge
	hasJustResumed := r.resumedAt != 0 && now.Sub(r.resumedAt) < maxOrderAge
	return ticksAreLate || hasJustResumed
}
