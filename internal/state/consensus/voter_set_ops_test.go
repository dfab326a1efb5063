package consensus

import (
	"testing"

	"github.com/matryer/is"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
)

func mustEncode(t *testing.T, msg any) []byte {
	t.Helper()
	raw, err := encode(msg)
	is.New(t).NoErr(err)
	return raw
}

// A newcomer takes a lost voter's place at once, but never so that too few are
// left whose copy is complete.
func TestReplaceVoter_LeavesAQuorumOfCompleteCopies(t *testing.T) {
	is := is.New(t)
	set := mustEncode(t, VoterSet{Number: 1, Voters: []Voter{{ID: 1}, {ID: 2}, {ID: 3}}})
	ask := func(old []byte, id, lost uint64) []byte {
		next, _ := replaceVoter("", old, mustEncode(t, ReplaceRequest{New: Voter{ID: id}, LostID: lost, Replicas: 3}))
		return next
	}
	next := ask(set, 9, 3)
	got, _ := DecodeVoterSet(next)
	is.Equal(got.Number, uint64(2))
	is.Equal(got.Voters, []Voter{{ID: 1}, {ID: 2}, {ID: 9}})
	is.Equal(got.Learners, []uint64{9})
	is.Equal(ask(next, 9, 1), next)  // it has a place already
	is.Equal(ask(next, 8, 2), next)  // one of three would be left that can vote
	is.Equal(ask(next, 8, 77), next) // nobody's place
	again, _ := DecodeVoterSet(ask(next, 8, 9))
	is.Equal(again.Learners, []uint64{8}) // the newcomer itself was lost
	done, _ := promoteLearner("", next, mustEncode(t, PromoteLearnerRequest{ID: 9}))
	is.True(string(ask(done, 8, 2)) != string(done)) // its copy is complete
}

// A blank store is asked for a vote like any other voter, and withholds it
// until its copy is complete; after a restart too.
func TestAcceptor_BlankVoterWithholdsItsVote(t *testing.T) {
	is := is.New(t)
	set := VoterSet{Number: 2, Voters: []Voter{{1, "a"}, {2, "b"}, {9, "c"}}}
	x := &testStore{disk: memoryDisk{}}
	x.Acceptor = NewAcceptor(9, x.disk, &x.Outbox)
	sync := func() (sent []any) {
		for _, c := range x.Drain() {
			s, ok := c.(event.Sync)
			is.True(ok)
			for _, r := range s.Records {
				x.disk[r.Key] = r.Value
			}
			for _, then := range s.After {
				sent = append(sent, then.(event.Send).Msg)
			}
		}
		return sent
	}
	x.AdoptVoterSet(set)
	sync()
	x.Acceptor = NewAcceptor(9, x.disk, &x.Outbox)
	ballot := ids.Ballot{Counter: maxFirstValueCounter + 1, Proposer: 1}
	x.HandlePrepare("a", Prepare{Key: "x", Ballot: ballot, VoterSetNumber: 2})
	x.HandleAccept("a", Accept{Key: "x", Ballot: ballot, VoterSetNumber: 2, Value: []byte("v")})
	x.HandlePageRequest("a", PageRequest{VoterSetNumber: 2})
	is.Equal(len(sync()), 0)
	x.MarkComplete()
	x.HandleAccept("a", Accept{Key: "x", Ballot: ballot, VoterSetNumber: 2, Value: []byte("v")})
	is.Equal(len(sync()), 1)
}

// A disk whose member was replaced never votes again, whatever it is told.
func TestAcceptor_ReplacedDiskNeverVotes(t *testing.T) {
	is := is.New(t)
	all := newTestStores(t)
	deliverAll(1, all, allLinks)
	c := all["c"]
	c.AdoptVoterSet(VoterSet{Number: 2, Voters: []Voter{{1, "a"}, {2, "b"}, {9, "c"}}})
	is.Equal(c.DiskState(), Replaced)
	c.MarkComplete()
	c.AdoptVoterSet(VoterSet{Number: 3, Voters: []Voter{{1, "a"}, {2, "b"}, {3, "c"}}})
	is.True(!c.MayVote())
	deliverAll(1, all, allLinks)
	again := NewAcceptor(3, c.disk, &c.Outbox)
	is.Equal(again.DiskState(), Replaced)
}

// Who copied everything once is given only what changed since, each record
// once; where the run or the list has gone, everything.
func TestAcceptor_LaterCopiesHoldChangesOnly(t *testing.T) {
	is := is.New(t)
	x := &testStore{disk: memoryDisk{}}
	x.Acceptor = NewAcceptor(1, x.disk, &x.Outbox)
	x.SetRunID(7)
	x.MarkComplete()
	x.AdoptVoterSet(VoterSet{Number: 1, Voters: []Voter{{1, "a"}}})
	page := func(q PageRequest) PageResponse {
		x.Drain()
		x.HandlePageRequest("n", q)
		return x.Drain()[0].(event.Sync).After[0].(event.Send).Msg.(PageResponse)
	}
	x.Seed("x", []byte("1"))
	first := page(PageRequest{VoterSetNumber: 1})
	is.True(first.Last && !first.Delta)
	is.Equal(first.ChangeCount, uint64(1))
	x.ForceValue("y", []byte("2"))
	x.ForceValue("y", []byte("3"))
	second := page(PageRequest{VoterSetNumber: 1, RunID: first.RunID, SinceChange: first.ChangeCount})
	is.True(second.Last && second.Delta)
	is.Equal(second.ChangeCount, uint64(3))
	is.Equal(len(second.Records), 1)
	is.Equal(string(second.Records[0].Value), "3")
	is.True(!page(PageRequest{VoterSetNumber: 1, RunID: 6, SinceChange: 1}).Delta) // another run's count
}
