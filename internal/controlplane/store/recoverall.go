package store

import (
	"slices"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/configuration"
	"dunlinwell/internal/state/consensus"
)

func sendTo(to ids.Address, msg any) event.Command { return event.Send{To: to, Msg: msg} }

// cannotRecoverAll checks an operator's order, at a blank store, to go on after
// every disk of the core was lost.
func (s *Store) cannotRecoverAll(now ids.Time) string {
	if len(s.otherBlanks(now)) < 2 {
		return "two other blank stores must be running first"
	}
	return ""
}

// otherBlanks gives the other stores that know of no voter set.
func (s *Store) otherBlanks(now ids.Time) []consensus.Voter {
	var out []consensus.Voter
	for _, v := range s.blanks(now) {
		if v.ID != s.StoreID() && s.hellos[v.Address].Blank {
			out = append(out, v)
		}
	}
	return out
}

// recoverAllIfDue founds a core anew, on an operator's order alone, with the
// configuration that a proxy still holds. Its marks are counted as lost.
func (s *Store) recoverAllIfDue(now ids.Time) {
	if s.refoundAt == 0 || now < s.refoundAt || s.Acceptor.VoterSet().Number > 0 {
		return
	}
	s.refoundAt = 0
	others := s.otherBlanks(now)
	if len(others) < 2 {
		return
	}
	first := consensus.VoterSet{
		Number: consensus.VoterSetNumberAfterTotalLoss, LossCount: 1,
		Voters: slices.Concat([]consensus.Voter{s.self()}, others[:2]),
	}
	b := consensus.Bootstrap{VoterSet: first, Configuration: s.survivingConfiguration.Configuration}
	s.bootstrap(b)
	s.Log(event.LevelWarn, "founded on order", "voter_set", itoa(first.Number), "policy", configuration.Describe(b.Configuration))
	for _, v := range others[:2] {
		s.Send(v.Address, b)
	}
}
