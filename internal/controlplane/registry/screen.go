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

// screen tells why a message must change nothing; empty for one that is taken.
// What orders others about, or says what somebody goes by, is taken only from a
// daemon that is known at the very address that it came from. All of these are
// sent again as long as they hold, so one that comes too early costs a moment.
func (f *Registry) screen(from ids.Address, msg any) event.Reason {
	known := true
	switch m := msg.(type) {
	case consensus.Chosen, consensus.ChosenDifference:
		known = f.knownAt(from, membership.Store)
	case spill.Table, election.Term:
		known = f.knownAt(from, membership.Registry)
	case distribution.Ack:
		known = f.speaksFor(from, m.Proxy)
	case spill.Report:
		known = f.speaksFor(from, m.Proxy)
	case DepartureAck:
		known = f.speaksFor(from, m.ID)
	}
	if !known {
		return event.NotAMember
	}
	return ""
}

func (f *Registry) speaksFor(from ids.Address, id ids.Daemon) bool {
	m, ok := f.Get(id)
	return ok && m.Address == from
}

func (f *Registry) knownAt(from ids.Address, role membership.Role) bool {
	return slices.ContainsFunc(f.All(), func(m membership.Member) bool { return m.Role == role && m.Address == from })
}
