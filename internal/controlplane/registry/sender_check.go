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

// discardReason returns the reason to discard a message, or "" to accept it. Commands, and
// messages that act on behalf of a daemon, are accepted only from the known address of a
// daemon that may send them. All of these are resent, so one that arrives before its
// sender is known is only delayed.
func (r *Registry) discardReason(from ids.Address, msg any) event.Reason {
	known := true
	switch m := msg.(type) {
	case consensus.Chosen, consensus.ChosenDelta:
		known = r.isAddressOf(from, membership.Store)
	case spill.Table, election.Term:
		known = r.isAddressOf(from, membership.Registry)
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

// isSentBy reports whether from is the known address of the daemon with the given ID.
func (r *Registry) isSentBy(from ids.Address, id ids.DaemonID) bool {
	member, known := r.Get(id)
	return known && member.Address == from
}

// isAddressOf reports whether from is the known address of any daemon of a role.
func (r *Registry) isAddressOf(from ids.Address, role membership.Role) bool {
	return slices.ContainsFunc(r.All(), func(member membership.Member) bool {
		return member.Role == role && member.Address == from
	})
}
