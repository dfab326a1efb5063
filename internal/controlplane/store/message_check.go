package store

import (
	"slices"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/state/consensus"
)

// maxBallotCounter is far above the counter of every honest ballot. A ballot at the
// end of the numbers would keep a register from ever being changed again.
const maxBallotCounter = 1 << 62

// discardReason returns why a message must change nothing; empty if it may be
// handled. It looks at the sender and at what the message claims to answer, before
// any of it is used.
func (s *Store) discardReason(from ids.Address, msg any) event.Reason {
	switch m := msg.(type) {
	case consensus.Prepare:
		return s.validateProposal(from, m.Ballot)
	case consensus.Accept:
		return s.validateProposal(from, m.Ballot.Max(m.NextBallot))
	case consensus.AcceptDelta:
		return s.validateProposal(from, m.Ballot.Max(m.NextBallot))
	case consensus.Promise:
		return s.validateVote(from, m.Store, m.VoterSetNumber, m.Round)
	case consensus.Accepted:
		return s.validateVote(from, m.Store, m.VoterSetNumber, m.Round)
	case consensus.Response:
		// A store submits its own requests to itself alone.
		if from != s.Self.Address {
			return event.Unsolicited
		}
	case consensus.PageResponse:
		if !s.Acceptor.VoterSet().IsCopySource(from, m.Store) {
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

// validateProposal checks a proposer's question: only stores propose.
func (s *Store) validateProposal(from ids.Address, ballot ids.Ballot) event.Reason {
	switch {
	case ballot.Counter > maxBallotCounter:
		return event.Malformed
	case !s.isKnownStore(from):
		return event.UnknownSender
	}
	return ""
}

// validateVote checks an answer to this store's own proposal: it comes from the
// voter's own address, and to a round that this run has begun.
func (s *Store) validateVote(from ids.Address, voterID, voterSetNumber, round uint64) event.Reason {
	switch {
	case !s.Acceptor.VoterSet().MatchesSender(from, voterID, voterSetNumber):
		return event.UnknownSender
	case !s.HasBegunRound(round):
		return event.Unsolicited
	}
	return ""
}

// validateVoterSet checks a voter set that would replace this store's own.
func (s *Store) validateVoterSet(from ids.Address, voterSet consensus.VoterSet) event.Reason {
	switch {
	case !voterSet.IsValid():
		return event.Malformed
	case !s.isKnownStore(from):
		return event.UnknownSender
	}
	return ""
}

// isKnownStore reports whether a store is known at an address: as this one, a seed, a
// voter, by its hello, or as a member.
func (s *Store) isKnownStore(address ids.Address) bool {
	if address == s.Self.Address || slices.Contains(s.bootstrapSeeds, address) {
		return true
	}
	isVoter := func(v consensus.Voter) bool { return v.Address == address }
	if slices.ContainsFunc(s.Acceptor.VoterSet().AllVoters(), isVoter) {
		return true
	}
	if _, ok := s.hellos[address]; ok {
		return true
	}
	isStore := func(m membership.Member) bool { return m.Role == membership.Store && m.Address == address }
	return slices.ContainsFunc(s.All(), isStore)
}
