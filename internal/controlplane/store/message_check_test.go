package store

import (
	"reflect"
	"testing"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/consensus"
	"dunlinwell/internal/transport/wire"
)

// A message that no honest store sends, or whose sender isn't the one that it claims
// to be, changes nothing, isn't answered, and is reported as discarded.
func TestReceive_ForgedMessagesChangeNothing(t *testing.T) {
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
		"a voter set from the future":                {unknownAddress, consensus.VoterSetUpdate{VoterSet: future}},
		"a voter set without voters":                 {"10.0.0.2:1", consensus.VoterSetUpdate{VoterSet: consensus.VoterSet{Number: 9}}},
		"a voter set with one voter twice":           {"10.0.0.2:1", consensus.VoterSetUpdate{VoterSet: consensus.VoterSet{Number: 9, Voters: append(threeVoters.Voters, threeVoters.Voters[0])}}},
		"a bootstrap by a stranger":                  {unknownAddress, consensus.Bootstrap{VoterSet: future}},
		"a response to its own request from another": {"10.0.0.2:1", consensus.Response{Outcome: consensus.Succeeded, Result: raw}},
		"a prepare by a stranger":                    {unknownAddress, prepare},
		"an accept by a stranger":                    {unknownAddress, consensus.Accept{Key: "policy", Ballot: prepare.Ballot, VoterSetNumber: 4, Value: []byte("x")}},
		"a delta by a stranger":                      {unknownAddress, consensus.AcceptDelta{Key: "policy", Ballot: prepare.Ballot, VoterSetNumber: 4}},
		"a ballot that none can exceed":              {"10.0.0.2:1", maximalBallot},
		"a promise in another's name":                {"10.0.0.3:1", consensus.Promise{Key: consensus.VoterSetKey, Store: 2, VoterSetNumber: 4}},
		"a promise of one who isn't a voter":         {unknownAddress, consensus.Promise{Key: consensus.VoterSetKey, Store: 99, VoterSetNumber: 4}},
		"a vote for an earlier run of it":            {"10.0.0.2:1", consensus.Accepted{Key: consensus.VoterSetKey, Store: 2, VoterSetNumber: 4, Round: 1, OK: true}},
		"a page in another's name":                   {unknownAddress, consensus.PageResponse{Store: 2, VoterSetNumber: 4, Last: true}},
		"a hello for another address":                {unknownAddress, consensus.Hello{Store: consensus.Voter{ID: 9, Address: "10.0.0.2:1"}, Blank: true}},
		"a hello without a store":                    {unknownAddress, consensus.Hello{Store: consensus.Voter{Address: unknownAddress}}},
	} {
		t.Run(name, func(t *testing.T) {
			s, disk := newVoter()
			before := persistedRecords(disk)
			sent, discarded := deliver(s, disk, c.from, c.msg)
			if len(sent) > 0 || len(discarded) != 1 || !reflect.DeepEqual(persistedRecords(disk), before) || !reflect.DeepEqual(s.Acceptor.VoterSet(), threeVoters) {
				t.Errorf("sent %v, discarded %v, voter set %v", sent, discarded, s.Acceptor.VoterSet())
			}
		})
	}
}

// The same kinds of messages are accepted from those who may send them.
func TestReceive_HonestMessagesAreAccepted(t *testing.T) {
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
