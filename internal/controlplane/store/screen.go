package store

import (
	"slices"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/state/consensus"
)

// discardReason tells why a message must change nothing; empty for one that is taken.
// It looks at who says it and to which question, before any of it is used.
func (s *Store) discardReason(from ids.Address, msg any) event.Reason {
	voterSet := s.Acceptor.VoterSet()
	switch m := msg.(type) {
	case consensus.Prepare:
		return s.validateProposal(from, m.Ballot)
	case consensus.Accept:
		return s.validateProposal(from, maxBallot(m.Ballot, m.NextBallot))
	case consensus.AcceptDifference:
		return s.validateProposal(from, maxBallot(m.Ballot, m.NextBallot))
	case consensus.Promise:
		return s.validateVote(from, m.Store, m.VoterSetNumber, m.Round)
	case consensus.Accepted:
		return s.validateVote(from, m.Store, m.VoterSetNumber, m.Round)
	case consensus.Response:
		// This store puts its own requests to itself alone.
		if from != s.Self.Address {
			return event.Unsolicited
		}
	case consensus.PageResponse:
		if !voterSet.IsCopySource(from, m.Store) {
			return event.UnknownSender
		}
	case consensus.Hello:
		if m.Store.ID == 0 || m.Store.Address != from {
			return event.Malformed
		}
	case consensus.VoterSetUpdate:
		return s.validateVoterSet(from, m.VoterSet)
	case consensus.Bootstrap:
		return s.validateVoterSet(from, m.VoterSet)
	}
	return ""
}

// maxBallotCounter is far above every honest ballot's count. One ballot at the end of
// the numbers would keep a register from ever being changed again.
const maxBallotCounter = 1 << 62

// validateProposal judges a proposer's question: only stores propose.
func (s *Store) validateProposal(from ids.Address, ballot ids.Ballot) event.Reason {
	switch {
	case ballot.Counter > maxBallotCounter:
		return event.Malformed
	case !s.isKnownStore(from):
		return event.UnknownSender
	}
	return ""
}

func maxBallot(a, b ids.Ballot) ids.Ballot {
	if a.Less(b) {
		return b
	}
	return a
}

func (s *Store) validateVote(from ids.Address, voter, voterSetNumber, round uint64) event.Reason {
	switch {
	case !s.Acceptor.VoterSet().MatchesSender(from, voter, voterSetNumber):
		return event.UnknownSender
	case !s.HasBegunRound(round):
		return event.Unsolicited
	}
	return ""
}

// validateVoterSet judges a voter set that would replace this store's own.
func (s *Store) validateVoterSet(from ids.Address, voterSet consensus.VoterSet) event.Reason {
	switch {
	case !voterSet.IsValid():
		return event.Malformed
	case !s.isKnownStore(from):
		return event.UnknownSender
	}
	return ""
}

// isKnownStore tells whether a store is known at an address: as a voter, a seed,
// a member, or by its hello.
func (s *Store) isKnownStore(address ids.Address) bool {
	hasAddress := func(v consensus.Voter) bool { return v.Address == address }
	if address == s.Self.Address || slices.Contains(s.seeds, address) || slices.ContainsFunc(s.Acceptor.VoterSet().AllVoters(), hasAddress) {
		return true
	}
	if _, ok := s.hellos[address]; ok {
		return true
	}
	return slices.ContainsFunc(s.All(), func(m membership.Member) bool { return m.Role == membership.Store && m.Address == address })
}
