package registry

import (
	"net/http"

	"dunlinwell/internal/base/ids"
)

// Stopping tells this registry that its process is about to end: calls under way are
// finished, new ones are rejected, and the planner's leadership passes on.
type Stopping struct{}

// handleStopping gives up what other registries can take over. Heartbeats of targets that
// await an answer are known to the other registries, and are still answered here.
func (r *Registry) handleStopping(now ids.Time) {
	if r.stopping {
		return
	}
	r.stopping = true
	r.resign(now)
	// The membership list spreads it at once: the next planner needn't wait until this
	// registry is declared dead.
	r.UpdateSelf(false, r.configuration.view.Revision)
}

// replyStopping rejects a call that arrived after Stopping: it has no effect, and
// another registry can carry it out.
func (r *Registry) replyStopping(id uint64) {
	r.replyRetry(id, http.StatusServiceUnavailable, "this daemon is stopping")
}
