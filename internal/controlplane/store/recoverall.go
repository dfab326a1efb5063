package store

import (
	"slices"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/configuration"
	"dunlinwell/internal/state/consensus"
)

func sendCommand(to ids.Address, msg any) event.Command { return event.Send{To: to, Msg: msg} }

// totalLossRejection checks an operator's order, at a blank store, to go on after
// every disk of the core was lost.
func (s *Store) totalLossRejection(now ids.Time) string {
	if len(s.otherBlankStores(now)) < 2 {
		return "two other blank stores must be running first"
	}
	return ""
}

// otherBlankStores gives the other stores that know of no voter set.
func (s *Store) otherBlankStores(now ids.Time) []consensus.Voter {
	var out []consensus.Voter
	for _, v := range s.storesWithoutVote(now) {
		if v.ID != s.StoreID() && s.hellos[v.Address].Blank {
			out = append(out, v)
		}
	}
	return out
}

// recoverFromTotalLossIfDue founds a core anew, on an operator's order alone, with the
// configuration that a proxy still holds. Its marks are counted as lost.
func (s *Store) recoverFromTotalLossIfDue(now ids.Time) {
	if s.recoverAt == 0 || now < s.recoverAt || s.Acceptor.VoterSet().Number > 0 {
		return
	}
	s.recoverAt = 0
	others := s.otherBlankStores(now)
	if len(others) < 2 {
		return
	}
	first := consensus.VoterSet{
		Number: consensus.VoterSetNumberAfterTotalLoss, LossCount: 1,
		Voters: slices.Concat([]consensus.Voter{s.selfVoter()}, others[:2]),
	}
	bootstrap := consensus.Bootstrap{VoterSet: first, Configuration: s.survivingConfiguration.Configuration}
	s.applyBootstrap(bootstrap)
	s.Log(event.LevelWarn, "founded on order", "voter_set", formatUint(first.Number), "policy", configuration.Describe(bootstrap.Configuration))
	for _, v := range others[:2] {
		s.Send(v.Address, bootstrap)
	}
}
