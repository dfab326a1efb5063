package store

import (
	"reflect"
	"testing"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/consensus"
	"dunlinwell/internal/transport/wire"
)

// A message that is invalid or does not come from its claimed sender must be discarded without
// an answer or a change of state.
func TestReceive_DiscardsInvalidMessages(t *testing.T) {
	future := consensus.VoterSet{Number: 1 << 40, Voters: []consensus.Voter{{ID: 9, Address: unknownAddress}}}
	raw, err := wire.Encode(future)
	is.New(t).NoErr(err)
	prepare := consensus.Prepare{Key: "policy", Ballot: ids.Ballot{Counter: 1 << 41, Proposer: 2 << 24}, VoterSetNumber: 4, Round: 7}
	maximalBallot := prepare
	maximalBallot.Ballot.Counter = 1<<64 - 1
	for name, c := range map[string]struct {
		from ids.Address
		msg  any
	}{
		"voter set from an unknown sender":              {unknownAddress, consensus.VoterSetUpdate{VoterSet: future}},
		"voter set without voters":                      {"10.0.0.2:1", consensus.VoterSetUpdate{VoterSet: consensus.VoterSet{Number: 9}}},
		"voter set with a duplicate voter":              {"10.0.0.2:1", consensus.VoterSetUpdate{VoterSet: consensus.VoterSet{Number: 9, Voters: append(threeVoters.Voters, threeVoters.Voters[0])}}},
		"bootstrap from an unknown sender":              {unknownAddress, consensus.Bootstrap{VoterSet: future}},
		"response to an own request from another store": {"10.0.0.2:1", consensus.Response{Outcome: consensus.Succeeded, Result: raw}},
		"prepare from an unknown sender":                {unknownAddress, prepare},
		"accept from an unknown sender":                 {unknownAddress, consensus.Accept{Key: "policy", Ballot: prepare.Ballot, VoterSetNumber: 4, Value: []byte("x")}},
		"delta from an unknown sender":                  {unknownAddress, consensus.AcceptDelta{Key: "policy", Ballot: prepare.Ballot, VoterSetNumber: 4}},
		"maximal ballot":                                {"10.0.0.2:1", maximalBallot},
		"promise with the id of another voter":          {"10.0.0.3:1", consensus.Promise{Key: consensus.VoterSetKey, Store: 2, VoterSetNumber: 4}},
		"promise from a store that isn't a voter":       {unknownAddress, consensus.Promise{Key: consensus.VoterSetKey, Store: 99, VoterSetNumber: 4}},
		"vote for a round of an earlier run":            {"10.0.0.2:1", consensus.Accepted{Key: consensus.VoterSetKey, Store: 2, VoterSetNumber: 4, Round: 1, OK: true}},
		"page with the id of another voter":             {unknownAddress, consensus.PageResponse{Store: 2, VoterSetNumber: 4, Last: true}},
		"hello with another store's address":            {unknownAddress, consensus.Hello{Store: consensus.Voter{ID: 9, Address: "10.0.0.2:1"}, Blank: true}},
		"hello without a store id":                      {unknownAddress, consensus.Hello{Store: consensus.Voter{Address: unknownAddress}}},
	} {
		t.Run(name, func(t *testing.T) {
			s, disk := newVoter()
			before := persistedRecords(disk)
			sent, discarded := deliver(s, disk, c.from, c.msg)
			if len(sent) > 0 || len(discarded) != 1 || !reflect.DeepEqual(persistedRecords(disk), before) || !reflect.DeepEqual(s.Acceptor.VoterSet(), threeVoters) {
				t.Errorf("want one discarded message and no other effect; sent %v, discarded %v, voter set %v", sent, discarded, s.Acceptor.VoterSet())
			}
		})
	}
}

// Valid messages of the same kinds must not be discarded.
func TestReceive_AcceptsValidMessages(t *testing.T) {
	is := is.New(t)
	s, disk := newVoter()
	sent, discarded := deliver(s, disk, "10.0.0.2:1", consensus.Prepare{Key: "policy", Ballot: ids.Ballot{Counter: 1 << 41, Proposer: 2 << 24}, VoterSetNumber: 4, Round: 7})
	is.Equal(len(sent), 1)
	is.Equal(len(discarded), 0)
	next := threeVoters
	next.Number++
	_, discarded = deliver(s, disk, "10.0.0.3:1", consensus.VoterSetUpdate{VoterSet: next})
	is.Equal(len(discarded), 0)
	is.Equal(s.Acceptor.VoterSet().Number, next.Number)
	// A store without a vote that has sent a hello may propose.
	deliver(s, disk, "10.0.0.9:1", consensus.Hello{Store: consensus.Voter{ID: 9, Address: "10.0.0.9:1"}, Blank: true})
	sent, discarded = deliver(s, disk, "10.0.0.9:1", consensus.Prepare{Key: "roster", Ballot: ids.Ballot{Counter: 1 << 41, Proposer: 9 << 24}, VoterSetNumber: 5, Round: 7})
	is.Equal(len(sent), 1)
	is.Equal(len(discarded), 0)
}
