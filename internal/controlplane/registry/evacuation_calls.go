package registry

import (
	"encoding/json"
	"net/http"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/configuration"
)

// maxOrderAge is how long a zone order may have waited while this process was suspended.
// By then its caller has retried it, and may have sent a different order since.
const maxOrderAge = time.Second

// supersededOrder is the answer to a zone order that a later change may have superseded.
const supersededOrder = "the cell was changed meanwhile; send the order again if it is still wanted"

// handleZoneOrder submits an order to evacuate a zone or to end its evacuation. The order
// takes effect only if the zone's version is still the one known here: zone orders have no
// idempotency key by which a delayed duplicate could be detected.
func (r *Registry) handleZoneOrder(now ids.Time, call ZoneOrderCall) {
	if r.mayHaveBeenSuspended(now) {
		r.replySuperseded(call.ID)
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
		r.replySuperseded(call.ID)
		r.refreshConfiguration(now)
	})
}

// replySuperseded answers an order that had no effect. The order isn't reported as rejected,
// because an earlier copy of it may have taken effect.
func (r *Registry) replySuperseded(id uint64) {
	r.replyRetry(id, http.StatusServiceUnavailable, supersededOrder)
}

// mayHaveBeenSuspended reports whether a call that arrives now may have been delayed by a
// suspension of this process.
func (r *Registry) mayHaveBeenSuspended(now ids.Time) bool {
	ticksAreLate := r.lastTick != 0 && now.Sub(r.lastTick) > maxOrderAge
	hasJustResumed := r.resumedAt != 0 && now.Sub(r.resumedAt) < maxOrderAge
	return ticksAreLate || hasJustResumed
}
