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

// discardReason gives the reason for which a message must be discarded; empty if it may be
// taken. Messages that give orders, or speak for a daemon, are taken only from the
// address at which the daemon that may send them is known. All of these are repeated
// while they hold, so that one that comes before its sender is known costs a moment.
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

// isSentBy tells whether a daemon is known at the address that a message came from.
func (r *Registry) isSentBy(from ids.Address, id ids.DaemonID) bool {
	member, known := r.Get(id)
	return known && member.Address == from
}

// isAddressOf tells whether any daemon of a role is known at an address.
func (r *Registry) isAddressOf(from ids.Address, role membership.Role) bool {
	return slices.ContainsFunc(r.All(), func(member membership.Member) bool {
		return member.Role == role && member.Address == from
	})
}
