package store

import (
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/consensus"
)

// receive hands a message to whatever handles its type, or discards it.
func (s *Store) receive(now ids.Time, from ids.Address, msg any) {
	if s.disk.stalled && needsDisk(msg) {
		// Others proceed without this copy. An answer released after the stall would
		// be out of date.
		return
	}
	if reason := s.discardReason(from, msg); reason != "" {
		s.Discard(from, reason, msg)
		return
	}
	switch m := msg.(type) {
	case consensus.Prepare:
		s.HandlePrepare(from, m)
	case consensus.Accept:
		s.HandleAccept(from, m)
	case consensus.AcceptDelta:
		s.HandleAcceptDelta(from, m)
	case consensus.Promise:
		s.HandlePromise(now, m)
	case consensus.Accepted:
		s.HandleAccepted(now, m)
	case consensus.PageRequest:
		s.HandlePageRequest(from, m)
	case consensus.PageResponse:
		s.handlePage(now, m)
	case consensus.Request:
		s.handleClientRequest(now, from, m)
	case consensus.Response:
		s.handleOwnResponse(now, m)
	case consensus.Hello:
		s.handleHello(now, from, m)
	case consensus.VoterSetUpdate:
		s.adoptAndForwardVoterSet(now, m.VoterSet)
	case consensus.BootstrapRequest:
		s.handleBootstrapRequest(from, m)
	case consensus.BootstrapResponse:
		s.handleBootstrapResponse(now, m)
	case consensus.Bootstrap:
		s.handleBootstrap(from, m)
	case consensus.ConfigurationReply:
		s.handleConfigurationReply(m)
	default:
		s.List.Receive(now, from, msg)
	}
}

// needsDisk reports whether a message asks this store to vote or to serve a page, whose
// answer waits for the disk. The promise of a BootstrapRequest does so as well, but may be
// late: the proposer tells by its round whether it still counts.
func needsDisk(msg any) bool {
	switch msg.(type) {
	case consensus.Prepare, consensus.Accept, consensus.AcceptDelta, consensus.PageRequest:
		return true
	}
	return false
}

// handleClientRequest proposes what a client asks for. A proposer whose own disk is
// stalled would only delay the client, and one that was replaced knows no current
// values; both reject, so that the client tries another store.
func (s *Store) handleClientRequest(now ids.Time, from ids.Address, m consensus.Request) {
	if s.disk.stalled || s.DiskState() == consensus.Replaced {
		s.Send(from, consensus.Response{ID: m.ID, Attempt: m.Attempt, Outcome: consensus.Rejected})
		return
	}
	s.Submit(now, from, m)
}
