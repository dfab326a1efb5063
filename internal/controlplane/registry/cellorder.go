package registry

import (
	"encoding/json"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/configuration"
)

// ZoneOrderCall asks for a zone to be shut or opened, in an order without an id.
type ZoneOrderCall struct {
	ID       uint64
	Zone     ids.Name
	Region   ids.Name
	Evacuate bool
}

// maxOrderAge is how long an order may have waited for this process: its caller
// has sent it again by then, and may have ordered otherwise since.
const maxOrderAge = time.Second

// handleZoneOrder has an order agreed on, if no other change of the zone came between
// what is known here now and the order's effect.
func (r *Registry) handleZoneOrder(now ids.Time, call ZoneOrderCall) {
	if r.mayHaveBeenSuspended(now) {
		r.replyOrderConflict(call.ID)
		return
	}
	order := configuration.ZoneOrder{Zone: call.Zone, Region: call.Region, Evacuate: call.Evacuate, KnownVersion: r.configuration.ZoneVersion(call.Zone)}
	raw, err := json.Marshal(order)
	if err != nil {
		r.Emit(Response{ID: call.ID, Status: 400, Body: ErrorResponse{err.Error()}})
		return
	}
	r.submitChange(now, call.ID, configuration.OpOrderZone, raw, func(now ids.Time, result configuration.Result) {
		if len(result.VersionConflicts) == 0 {
			r.replyWithResult(call.ID)(now, result)
			return
		}
		r.replyOrderConflict(call.ID)
		r.refreshConfiguration(now)
	})
}

// replyOrderConflict answers an order that had no effect, and that its caller may
// not want any more: no refusal, as a copy of it may have been taken.
func (r *Registry) replyOrderConflict(id uint64) {
	r.Emit(Response{ID: id, Status: 503, Body: ErrorResponse{"the cell was changed meanwhile; send the order again if it is still wanted"}, RetryAfter: 1})
}

// mayHaveBeenSuspended tells whether what comes in now may have waited for a process
// that stood still.
func (r *Registry) mayHaveBeenSuspended(now ids.Time) bool {
	return r.lastTick != 0 && now.Sub(r.lastTick) > maxOrderAge || r.resumedAt != 0 && now.Sub(r.resumedAt) < maxOrderAge
}

// refreshConfiguration reads the configuration without waiting for the next poll.
func (r *Registry) refreshConfiguration(now ids.Time) {
	if !r.readPending {
		r.pollConfiguration(now)
	}
}
