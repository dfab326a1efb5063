package registry

import "dunlinwell/internal/base/ids"

// Stopping tells this registry that its process is to end: what is under way is
// finished, new calls are sent on, and its duty is free for the next in line.
type Stopping struct{}

// handleStopping gives up what others can take over. Targets' words that it has taken and
// not yet answered are with the other registries, and are answered as always.
func (r *Registry) handleStopping(now ids.Time) {
	if r.stopping {
		return
	}
	r.stopping = true
	if r.ownEpoch != 0 {
		r.stepDown(now, "duty given up")
	}
	// The roll tells it at once, so that the next in line needn't wait for a verdict.
	r.UpdateSelf(false, r.view.Revision)
}

// replyStopping answers a call that came after the signal: surely not run, ask another.
func (r *Registry) replyStopping(id uint64) {
	r.Emit(Response{ID: id, Status: 503, Body: ErrorResponse{"this daemon is stopping"}, RetryAfter: 1})
}

// callID gives the number of a call that is rejected while stopping; the status
// is told to the last.
func callID(ev any) (uint64, bool) {
	switch c := ev.(type) {
	case ChangeCall:
		return c.ID, true
	case MergeCall:
		return c.ID, true
	case ZoneOrderCall:
		return c.ID, true
	case DeregisterCall:
		return c.ID, true
	case ReadConfigurationCall:
		return c.ID, true
	case ResolveCall:
		return c.ID, true
	case HeartbeatCall:
		return c.ID, true
	}
	return 0, false
}
