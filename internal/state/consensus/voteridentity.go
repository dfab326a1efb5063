package consensus

import "dunlinwell/internal/base/ids"

// Voter finds a voter by its id.
func (s VoterSet) Voter(id uint64) (Voter, bool) {
	for _, v := range s.AllVoters() {
		if v.ID == id {
			return v, true
		}
	}
	return Voter{}, false
}

// IsValid tells whether a voter set can be one at all. No honest store makes one
// without voters, or with two of one id: nothing could be agreed on under it.
func (s VoterSet) IsValid() bool {
	return s.Number > 0 && len(s.Voters) > 0 && hasDistinctVoters(s.Voters) && hasDistinctVoters(s.Incoming)
}

func hasDistinctVoters(list []Voter) bool {
	seen := map[uint64]bool{}
	for _, v := range list {
		if v.ID == 0 || v.Address == "" || seen[v.ID] {
			return false
		}
		seen[v.ID] = true
	}
	return true
}

// MatchesSender tells whether a voter's answer came from where the voter is. An
// answer under another voter set is dropped for that alone.
func (s VoterSet) MatchesSender(from ids.Address, id, number uint64) bool {
	v, ok := s.Voter(id)
	return number != s.Number || ok && v.Address == from
}

// HasBegunRound tells whether this run has begun a round of that number.
func (p *Proposer) HasBegunRound(round uint64) bool {
	// Both differences wrap around in step, as the numbers may.
	return round-initialRoundID(p.proposerID)-1 < p.lastRoundID-initialRoundID(p.proposerID)
}
