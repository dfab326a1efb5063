package registry

import (
	"encoding/json"
	"net/http"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/configuration"
)

// maxEvacuationRequestAge is how long a zone evacuation request may have waited while this
// process was paused. By then its caller has retried it, and may have sent a different one since.
const maxEvacuationRequestAge = time.Second

// supersededRequest is the answer to a request that a later change may have superseded.
const supersededRequest = "the cell was changed meanwhile; send the order again if it is still wanted"

// handleZoneEvacuation submits a request to evacuate a zone or to end its evacuation. It takes
// effect only if the zone's version is still the one known here: the request has no
// idempotency key by which a delayed duplicate could be detected.
func (r *Registry) handleZoneEvacuation(now ids.Time, call ZoneEvacuationCall) {
	if r.mayHaveBeenPaused(now) {
		r.replySuperseded(call.ID)
		return
	}
	request := configuration.ZoneEvacuationRequest{
		Zone:            call.Zone,
		Region:          call.Region,
		Evacuate:        call.Evacuate,
		ExpectedVersion: r.configuration.document.ZoneVersion(call.Zone),
	}
	encoded, err := json.Marshal(request)
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

// replySuperseded answers a request that had no effect. It isn't reported as rejected,
// because an earlier copy of it may have taken effect.
func (r *Registry) replySuperseded(id uint64) {
	r.replyRetry(id, http.StatusServiceUnavailable, supersededRequest)
}

// mayHaveBeenPaused reports whether a call that arrives now may have been delayed by a
// pause of this process.
func (r *Registry) mayHaveBeenPaused(now ids.Time) bool {
	ticksAreLate := r.lastTick != 0 && now.Sub(r.lastTick) > maxEvacuationRequestAge
	hasJustResumed := r.resumedAt != 0 && now.Sub(r.resumedAt) < maxEvacuationRequestAge
	return ticksAreLate || hasJustResumed
}
