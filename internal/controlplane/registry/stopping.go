package registry

import (
	"net/http"

	"dunlinwell/internal/base/ids"
)

// Stopping is the event that starts a graceful shutdown: calls in progress are finished,
// new ones are rejected, and the registry resigns as planner.
type Stopping struct{}

// handleStopping resigns the leadership and stops accepting calls. Departures in progress
// have already been sent to the peers, and are still answered here.
func (r *Registry) handleStopping(now ids.Time) {
	if r.stopping {
		return
	}
	r.stopping = true
	r.resign(now)
	// Gossiped at once, so that the next planner needn't wait until this registry is
	// declared dead.
	r.UpdateSelf(false, r.configuration.view.Revision)
}

// replyStopping rejects a call that arrived after Stopping. The call has no effect, and
// may be retried at another registry.
func (r *Registry) replyStopping(id uint64) {
	r.replyRetry(id, http.StatusServiceUnavailable, "this daemon is stopping")
}
