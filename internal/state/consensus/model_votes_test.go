package consensus

import (
	"fmt"
	"slices"
	"strings"
)

// recordVote records a vote, and checks the value if it is chosen by it.
func (w *modelWorld) recordVote(by *modelStore, m Accept) {
	set := by.acceptor.voterSet
	at := slices.IndexFunc(w.votes, func(v modelVote) bool {
		return v.key == m.Key && v.ballot == m.Ballot && v.voterSetNumber == m.VoterSetNumber
	})
	if at < 0 {
		at = len(w.votes)
		w.votes = append(w.votes, modelVote{key: m.Key, ballot: m.Ballot, voterSetNumber: m.VoterSetNumber, voters: set.Voters, value: string(m.Value)})
	}
	v := &w.votes[at]
	if v.value != string(m.Value) {
		w.violation = fmt.Sprintf("two values of one ballot %v", m.Ballot)
	}
	if !slices.Contains(v.stores, by.acceptor.storeID) {
		v.stores = append(slices.Clone(v.stores), by.acceptor.storeID)
		slices.Sort(v.stores)
	}
	accepted := map[uint64]bool{}
	for _, id := range v.stores {
		accepted[id] = true
	}
	if !v.chosen && (VoterSet{Voters: v.voters}).IsQuorum(accepted) {
		v.chosen = true
		w.checkChosen(*v)
	}
}

// checkChosen checks that of two chosen values the one of the higher ballot was made from
// the other.
func (w *modelWorld) checkChosen(c modelVote) {
	for _, v := range w.votes {
		low, high := v, c
		if high.ballot.Less(low.ballot) {
			low, high = high, low
		}
		if !v.chosen || v.key != c.key || low.ballot == high.ballot {
			continue
		}
		if c.key != VoterSetKey {
			if !strings.HasPrefix(high.value, low.value) {
				w.violation = fmt.Sprintf("%q was chosen over %q", high.value, low.value)
			}
			continue
		}
		a, _ := DecodeVoterSet([]byte(low.value))
		b, _ := DecodeVoterSet([]byte(high.value))
		if a.Number > b.Number || a.Number == b.Number && low.value != high.value {
			w.violation = fmt.Sprintf("voter set %+v was chosen over %+v", b, a)
		}
	}
	if set, ok := DecodeVoterSet([]byte(c.value)); ok && c.key == VoterSetKey && set.Number == uint64(len(w.sets))+1 {
		w.sets = append(w.sets, set)
	}
}
