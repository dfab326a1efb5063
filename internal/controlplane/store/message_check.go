package store

import (
	"slices"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/state/consensus"
)

// maxBallotCounter is the highest accepted ballot counter, far above that of any valid
// ballot. A ballot near the maximum uint64 would block all later changes of a register.
const maxBallotCounter = 1 << 62

// discardReason returns why a message must be discarded, or "" if it may be handled. It
// checks the sender, and for an answer the request that it refers to.
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
		// A store submits its own requests only to itself.
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

// validateProposal checks a proposer's message: only stores propose.
func (s *Store) validateProposal(from ids.Address, ballot ids.Ballot) event.Reason {
	switch {
	case ballot.Counter > maxBallotCounter:
		return event.Malformed
	case !s.isKnownStore(from):
		return event.UnknownSender
	}
	return ""
}

// validateVote checks an answer to this store's own proposal: it must come from the
// voter's own address, and belong to a round that this run has begun.
func (s *Store) validateVote(from ids.Address, voterID, voterSetNumber, round uint64) event.Reason {
	switch {
	case !s.Acceptor.VoterSet().MatchesSender(from, voterID, voterSetNumber):
		return event.UnknownSender
	case !s.HasBegunRound(round):
		return event.Unsolicited
	}
	return ""
}

// validateVoterSet checks a received voter set before it may be adopted.
func (s *Store) validateVoterSet(from ids.Address, voterSet consensus.VoterSet) event.Reason {
	switch {
	case !voterSet.IsValid():
		return event.Malformed
	case !s.isKnownStore(from):
		return event.UnknownSender
	}
	return ""
}

// isKnownStore reports whether an address belongs to a known store: this one, a seed, a
// voter, a store that has sent a hello, or a member.
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
