package consensus

import "dunlinwell/internal/base/ids"

// Voter finds a voter by its id.
func (r VoterSet) Voter(id uint64) (Voter, bool) {
	for _, v := range r.All() {
		if v.ID == id {
			return v, true
		}
	}
	return Voter{}, false
}

// Valid tells whether a voter set can be one at all. No honest store makes one
// without voters, or with two of one id: nothing could be agreed on under it.
func (r VoterSet) Valid() bool {
	return r.Number > 0 && len(r.Voters) > 0 && distinct(r.Voters) && distinct(r.Incoming)
}

func distinct(list []Voter) bool {
	seen := map[uint64]bool{}
	for _, v := range list {
		if v.ID == 0 || v.Address == "" || seen[v.ID] {
			return false
		}
		seen[v.ID] = true
	}
	return true
}

// SpeaksFor tells whether a voter's answer came from where the voter is. An
// answer under another voter set is dropped for that alone.
func (r VoterSet) SpeaksFor(from ids.Address, id, number uint64) bool {
	v, ok := r.Voter(id)
	return number != r.Number || ok && v.Address == from
}

// Began tells whether this run has begun a round of that number.
func (p *Proposer) Began(round uint64) bool {
	// Both differences wrap around in step, as the numbers may.
	return round-firstRound(p.by)-1 < p.count-firstRound(p.by)
}
