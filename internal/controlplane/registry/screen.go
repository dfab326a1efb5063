package registry

import (
	"slices"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/distribution"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/spill"
	"dunlinwell/internal/state/consensus"
	"dunlinwell/internal/state/election"
)

// checkSender tells why a message must change nothing; empty for one that is taken.
// What orders others about, or says what somebody goes by, is taken only from a
// daemon that is known at the very address that it came from. All of these are
// sent again as long as they hold, so one that comes too early costs a moment.
func (r *Registry) checkSender(from ids.Address, msg any) event.Reason {
	known := true
	switch m := msg.(type) {
	case consensus.Chosen, consensus.ChosenDifference:
		known = r.isKnownAddress(from, membership.Store)
	case spill.Table, election.Term:
		known = r.isKnownAddress(from, membership.Registry)
	case distribution.Ack:
		known = r.isSentBy(from, m.Proxy)
	case spill.Report:
		known = r.isSentBy(from, m.Proxy)
	case DepartureAck:
		known = r.isSentBy(from, m.ID)
	}
	if !known {
		return event.UnknownSender
	}
	return ""
}

func (r *Registry) isSentBy(from ids.Address, id ids.DaemonID) bool {
	m, ok := r.Get(id)
	return ok && m.Address == from
}

func (r *Registry) isKnownAddress(from ids.Address, role membership.Role) bool {
	return slices.ContainsFunc(r.All(), func(m membership.Member) bool { return m.Role == role && m.Address == from })
}
