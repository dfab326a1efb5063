package store

import (
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/consensus"
)

// receive dispatches a message to the handler of its type, or discards it.
func (s *Store) receive(now ids.Time, from ids.Address, msg any) {
	if s.disk.stalled && needsDisk(msg) {
		// A quorum can proceed without this replica, and an answer released after the
		// stall would be stale.
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

// needsDisk reports whether a message asks this store to vote or to serve a page, so that
// its answer waits for the disk. A BootstrapRequest is excluded: its promise also waits, but
// may arrive late, since the proposer checks its round.
func needsDisk(msg any) bool {
	switch msg.(type) {
	case consensus.Prepare, consensus.Accept, consensus.AcceptDelta, consensus.PageRequest:
		return true
	}
	return false
}

// handleClientRequest submits a client's request to the proposer. A store with a stalled
// disk would delay the client, and a replaced store has no current values; both reject
// the request, so that the client tries another store.
func (s *Store) handleClientRequest(now ids.Time, from ids.Address, m consensus.Request) {
	if s.disk.stalled || s.DiskState() == consensus.Replaced {
		s.Send(from, consensus.Response{ID: m.ID, Attempt: m.Attempt, Outcome: consensus.Rejected})
		return
	}
	s.Submit(now, from, m)
}
