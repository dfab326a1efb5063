package consensus

import (
	"testing"

	"github.com/matryer/is"
)

// A quorum of a joint voter set needs a majority of both sides.
func TestVoterSet_JointQuorumNeedsBothMajorities(t *testing.T) {
	is := is.New(t)
	joint := VoterSet{Number: 2, Voters: []Voter{{ID: 1}, {ID: 2}, {ID: 3}}, Incoming: []Voter{{ID: 1}, {ID: 4}, {ID: 5}}}
	is.True(!joint.IsQuorum(map[uint64]bool{2: true, 3: true}))
	is.True(!joint.IsQuorum(map[uint64]bool{4: true, 5: true}))
	is.True(joint.IsQuorum(map[uint64]bool{1: true, 2: true, 4: true}))
	old := mustEncode(t, VoterSet{Number: 1, Voters: joint.Voters})
	next, _ := joinVoter("", old, mustEncode(t, JoinRequest{New: Voter{ID: 9}, LostID: 3}))
	got, _ := DecodeVoterSet(next)
	is.Equal(got.Number, uint64(2))
	is.Equal(got.Incoming[2].ID, uint64(9))
	// A second replacement has no effect while the voter set is joint.
	same, _ := joinVoter("", next, mustEncode(t, JoinRequest{New: Voter{ID: 8}, LostID: 2}))
	is.Equal(same, next)
}

// A new voter replaces a lost one immediately, unless too few voters with a complete copy would
// remain for a quorum.
func TestReplaceVoter_KeepsQuorumOfCompleteCopies(t *testing.T) {
	is := is.New(t)
	set := mustEncode(t, VoterSet{Number: 1, Voters: []Voter{{ID: 1}, {ID: 2}, {ID: 3}}})
	replace := func(old []byte, id, lost uint64) []byte {
		next, _ := replaceVoter("", old, mustEncode(t, ReplaceRequest{New: Voter{ID: id}, LostID: lost, Replicas: 3}))
		return next
	}
	next := replace(set, 9, 3)
	got, _ := DecodeVoterSet(next)
	is.Equal(got.Number, uint64(2))
	is.Equal(got.Voters, []Voter{{ID: 1}, {ID: 2}, {ID: 9}})
	is.Equal(got.Learners, []uint64{9})
	is.Equal(replace(next, 9, 1), next)  // already a voter
	is.Equal(replace(next, 8, 2), next)  // only one of three voters could vote
	is.Equal(replace(next, 8, 77), next) // no such voter
	again, _ := DecodeVoterSet(replace(next, 8, 9))
	is.Equal(again.Learners, []uint64{8}) // the learner itself was lost
	promoted, _ := promoteLearner("", next, mustEncode(t, PromoteLearnerRequest{ID: 9}))
	is.True(string(replace(promoted, 8, 2)) != string(promoted)) // its copy is complete
}
