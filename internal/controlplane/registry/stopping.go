package registry

import "dunlinwell/internal/base/ids"

// Stopping tells this registry that its process is to end: what is under way is
// finished, new calls are sent on, and its duty is free for the next in line.
type Stopping struct{}

// stop gives up what others can take over. Targets' words that it has taken and
// not yet answered are with the other registries, and are answered as always.
func (f *Registry) stop(now ids.Time) {
	if f.stopping {
		return
	}
	f.stopping = true
	if f.mine != 0 {
		f.giveUpDuty(now, "duty given up")
	}
	// The roll tells it at once, so that the next in line needn't wait for a verdict.
	f.Announce(false, f.view.Revision)
}

// declines answers a call that came after the signal: surely not run, ask another.
func (f *Registry) declines(id uint64) {
	f.Emit(Response{ID: id, Status: 503, Body: Problem{"this daemon is stopping"}, Retry: 1})
}

// callID gives the number of a call that is declined while stopping; the status
// is told to the last.
func callID(ev any) (uint64, bool) {
	switch c := ev.(type) {
	case ChangeCall:
		return c.ID, true
	case MergeCall:
		return c.ID, true
	case CellOrderCall:
		return c.ID, true
	case DeregisterCall:
		return c.ID, true
	case PolicyCall:
		return c.ID, true
	case ResolveCall:
		return c.ID, true
	case HeartbeatCall:
		return c.ID, true
	}
	return 0, false
}
