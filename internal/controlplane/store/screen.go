package store

import (
	"slices"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/state/consensus"
)

// screen tells why a message must change nothing; empty for one that is taken.
// It looks at who says it and to which question, before any of it is used.
func (s *Store) screen(from ids.Address, msg any) event.Reason {
	voters := s.Acceptor.VoterSet()
	switch m := msg.(type) {
	case consensus.Prepare:
		return s.screenQuestion(from, m.Ballot)
	case consensus.Accept:
		return s.screenQuestion(from, maxOf(m.Ballot, m.NextBallot))
	case consensus.AcceptDifference:
		return s.screenQuestion(from, maxOf(m.Ballot, m.NextBallot))
	case consensus.Promise:
		return s.screenAnswer(from, m.Store, m.VoterSetNumber, m.Round)
	case consensus.Accepted:
		return s.screenAnswer(from, m.Store, m.VoterSetNumber, m.Round)
	case consensus.Response:
		// This store puts its own requests to itself alone.
		if from != s.Self.Address {
			return event.Unsolicited
		}
	case consensus.PageResponse:
		if !voters.IsCopySource(from, m.Store) {
			return event.UnknownSender
		}
	case consensus.Hello:
		if m.Store.ID == 0 || m.Store.Address != from {
			return event.Malformed
		}
	case consensus.VoterSetUpdate:
		return s.screenVoterSet(from, m.VoterSet)
	case consensus.Bootstrap:
		return s.screenVoterSet(from, m.VoterSet)
	}
	return ""
}

// mostRounds is far above every honest ballot's count. One ballot at the end of
// the numbers would keep a register from ever being changed again.
const mostRounds = 1 << 62

// screenQuestion judges a proposer's question: only stores propose.
func (s *Store) screenQuestion(from ids.Address, b ids.Ballot) event.Reason {
	switch {
	case b.Counter > mostRounds:
		return event.Malformed
	case !s.knownStore(from):
		return event.UnknownSender
	}
	return ""
}

func maxOf(a, b ids.Ballot) ids.Ballot {
	if a.Less(b) {
		return b
	}
	return a
}

func (s *Store) screenAnswer(from ids.Address, voter, number, round uint64) event.Reason {
	switch {
	case !s.Acceptor.VoterSet().MatchesSender(from, voter, number):
		return event.UnknownSender
	case !s.HasBegunRound(round):
		return event.Unsolicited
	}
	return ""
}

// screenVoterSet judges a voter set that would replace this store's own.
func (s *Store) screenVoterSet(from ids.Address, r consensus.VoterSet) event.Reason {
	switch {
	case !r.IsValid():
		return event.Malformed
	case !s.knownStore(from):
		return event.UnknownSender
	}
	return ""
}

// knownStore tells whether a store is known at an address: as a voter, a seed,
// a member, or by its hello.
func (s *Store) knownStore(at ids.Address) bool {
	is := func(v consensus.Voter) bool { return v.Address == at }
	if at == s.Self.Address || slices.Contains(s.seeds, at) || slices.ContainsFunc(s.Acceptor.VoterSet().AllVoters(), is) {
		return true
	}
	if _, ok := s.hellos[at]; ok {
		return true
	}
	return slices.ContainsFunc(s.All(), func(m membership.Member) bool { return m.Role == membership.Store && m.Address == at })
}
