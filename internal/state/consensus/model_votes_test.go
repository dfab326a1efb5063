package consensus

import (
	"fmt"
	"slices"
	"strings"
)

// recordVote records a vote, and checks the value if the vote completes a quorum.
func (st *modelState) recordVote(voter *modelStore, m Accept) {
	set := voter.acceptor.voterSet
	index := slices.IndexFunc(st.votes, func(v modelVote) bool {
		return v.key == m.Key && v.ballot == m.Ballot && v.voterSetNumber == m.VoterSetNumber
	})
	if index < 0 {
		index = len(st.votes)
		st.votes = append(st.votes, modelVote{key: m.Key, ballot: m.Ballot, voterSetNumber: m.VoterSetNumber, voters: set.Voters, value: string(m.Value)})
	}
	v := &st.votes[index]
	if v.value != string(m.Value) {
		st.violation = fmt.Sprintf("two values have the same ballot %v", m.Ballot)
	}
	if !slices.Contains(v.stores, voter.acceptor.storeID) {
		v.stores = append(slices.Clone(v.stores), voter.acceptor.storeID)
		slices.Sort(v.stores)
	}
	accepted := map[uint64]bool{}
	for _, id := range v.stores {
		accepted[id] = true
	}
	if !v.chosen && (VoterSet{Voters: v.voters}).IsQuorum(accepted) {
		v.chosen = true
		st.checkChosen(*v)
	}
}

// checkChosen checks a chosen value against every other one of its register: the value with the
// higher ballot must be derived from the value with the lower ballot.
func (st *modelState) checkChosen(c modelVote) {
	for _, v := range st.votes {
		low, high := v, c
		if high.ballot.Less(low.ballot) {
			low, high = high, low
		}
		if !v.chosen || v.key != c.key || low.ballot == high.ballot {
			continue
		}
		if c.key != VoterSetKey {
			if !strings.HasPrefix(high.value, low.value) {
				st.violation = fmt.Sprintf("%q was chosen after %q, but not derived from it", high.value, low.value)
			}
			continue
		}
		a, _ := DecodeVoterSet([]byte(low.value))
		b, _ := DecodeVoterSet([]byte(high.value))
		if a.Number > b.Number || a.Number == b.Number && low.value != high.value {
			st.violation = fmt.Sprintf("voter set %+v was chosen after %+v, but doesn't succeed it", b, a)
		}
	}
	if set, ok := DecodeVoterSet([]byte(c.value)); ok && c.key == VoterSetKey && set.Number == uint64(len(st.sets))+1 {
		st.sets = append(st.sets, set)
	}
}
