package consensus

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/testsupport/memorydisk"
)

// After a restart, an acceptor rejects ballots below one that it promised before.
func TestAcceptor_PromiseSurvivesRestart(t *testing.T) {
	is := is.New(t)
	stores := newTestStores()
	deliverAll(1, stores, allLinks)
	b := stores["b"]
	b.HandlePrepare("a", Prepare{Key: "x", Ballot: ids.Ballot{Counter: 5, Proposer: 1}, VoterSetNumber: 1, Round: 1})
	deliverAll(1, stores, noLinks)
	restarted := newTestAcceptor(2, b.disk)
	restarted.HandleAccept("c", Accept{Key: "x", Ballot: ids.Ballot{Counter: 4, Proposer: 3}, VoterSetNumber: 1, Round: 2, Value: []byte("old")})
	sync := restarted.Drain()[0].(event.Sync)
	is.Equal(len(sync.Records), 0)
	is.Equal(sync.After[0].(event.Send).Message.(Accepted).OK, false)
	// A request under a lower voter set gets no vote; the response is the higher voter set.
	restarted.AdoptVoterSet(VoterSet{Number: 2, Voters: []Voter{{2, "b"}}})
	restarted.Drain()
	restarted.HandleAccept("c", Accept{Key: "x", Ballot: ids.Ballot{Counter: 9, Proposer: 3}, VoterSetNumber: 1})
	_, updated := restarted.Drain()[0].(event.Sync).After[0].(event.Send).Message.(VoterSetUpdate)
	is.True(updated)
}

// An acceptor that can't apply a delta keeps its state and requests the full value.
func TestAcceptor_RejectsInapplicableDelta(t *testing.T) {
	stores := newTestStores()
	now, network := ids.Time(1), &countingNetwork{}
	network.run(t, stores, "a", &now, string(randomText(rand.New(rand.NewPCG(1, 1)), 20_000)), nil)
	b := stores["b"]
	acceptedBallot, value := b.AcceptedValue("policy")
	next := ids.Ballot{Counter: acceptedBallot.Counter + 100, Proposer: 1}
	for name, m := range map[string]AcceptDelta{
		"earlier base":  {BaseBallot: ids.Ballot{Counter: acceptedBallot.Counter - 1, Proposer: acceptedBallot.Proposer}, Delta: nil},
		"damaged delta": {BaseBallot: acceptedBallot, Delta: []byte("damaged")},
		"no delta":      {BaseBallot: acceptedBallot, Delta: nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m.Key, m.Ballot, m.VoterSetNumber, m.Round = "policy", next, 1, 9
			b.HandleAcceptDelta("a", m)
			commands := b.Drain()
			is.Equal(len(commands), 1)
			sync := commands[0].(event.Sync)
			is.Equal(len(sync.Records), 0)
			vote := sync.After[0].(event.Send).Message.(Accepted)
			is.True(!vote.OK && vote.NeedsFullValue)
			ballot, got := b.AcceptedValue("policy")
			is.Equal(ballot, acceptedBallot)
			is.True(bytes.Equal(got, value))
		})
	}
}

// A voter with an empty disk responds to no request until its copy is complete, even after a
// restart.
func TestAcceptor_IncompleteVoterWithholdsItsVote(t *testing.T) {
	is := is.New(t)
	set := VoterSet{Number: 2, Voters: []Voter{{1, "a"}, {2, "b"}, {9, "c"}}}
	voter := newTestAcceptor(9, memorydisk.Disk{})
	responses := func() (sent []any) {
		for _, c := range voter.Drain() {
			sync, ok := c.(event.Sync)
			is.True(ok)
			voter.disk.Write(sync.Records)
			for _, after := range sync.After {
				sent = append(sent, after.(event.Send).Message)
			}
		}
		return sent
	}
	voter.AdoptVoterSet(set)
	responses()
	voter.Acceptor = NewAcceptor(9, voter.disk, &voter.Outbox)
	ballot := ids.Ballot{Counter: maxFirstValueCounter + 1, Proposer: 1}
	voter.HandlePrepare("a", Prepare{Key: "x", Ballot: ballot, VoterSetNumber: 2})
	voter.HandleAccept("a", Accept{Key: "x", Ballot: ballot, VoterSetNumber: 2, Value: []byte("v")})
	voter.HandlePageRequest("a", PageRequest{VoterSetNumber: 2})
	is.Equal(len(responses()), 0)
	voter.MarkComplete()
	voter.HandleAccept("a", Accept{Key: "x", Ballot: ballot, VoterSetNumber: 2, Value: []byte("v")})
	is.Equal(len(responses()), 1)
}

// The disk of a replaced store never votes again, even if a later voter set includes its ID.
func TestAcceptor_ReplacedDiskNeverVotes(t *testing.T) {
	is := is.New(t)
	stores := newTestStores()
	deliverAll(1, stores, allLinks)
	c := stores["c"]
	c.AdoptVoterSet(VoterSet{Number: 2, Voters: []Voter{{1, "a"}, {2, "b"}, {9, "c"}}})
	is.Equal(c.DiskState(), Replaced)
	c.MarkComplete()
	c.AdoptVoterSet(VoterSet{Number: 3, Voters: []Voter{{1, "a"}, {2, "b"}, {3, "c"}}})
	is.True(!c.MayVote())
	deliverAll(1, stores, allLinks)
	restarted := NewAcceptor(3, c.disk, &c.Outbox)
	is.Equal(restarted.DiskState(), Replaced)
}

// After a full pass, an acceptor sends a learner only the registers that changed since, each
// once. It sends all registers if the learner's change count is from another run.
func TestAcceptor_LaterPassSendsOnlyChanges(t *testing.T) {
	is := is.New(t)
	acceptor := newTestAcceptor(1, memorydisk.Disk{})
	acceptor.SetRunID(7)
	acceptor.MarkComplete()
	acceptor.AdoptVoterSet(VoterSet{Number: 1, Voters: []Voter{{1, "a"}}})
	page := func(request PageRequest) PageResponse {
		acceptor.Drain()
		acceptor.HandlePageRequest("n", request)
		return acceptor.Drain()[0].(event.Sync).After[0].(event.Send).Message.(PageResponse)
	}
	acceptor.Seed("x", []byte("1"))
	first := page(PageRequest{VoterSetNumber: 1})
	is.True(first.Last && !first.Delta)
	is.Equal(first.ChangeCount, uint64(1))
	acceptor.ForceValue("y", []byte("2"))
	acceptor.ForceValue("y", []byte("3"))
	second := page(PageRequest{VoterSetNumber: 1, RunID: first.RunID, SinceChange: first.ChangeCount})
	is.True(second.Last && second.Delta)
	is.Equal(second.ChangeCount, uint64(3))
	is.Equal(len(second.Records), 1)
	is.Equal(string(second.Records[0].Value), "3")
	is.True(!page(PageRequest{VoterSetNumber: 1, RunID: 6, SinceChange: 1}).Delta) // change count of another run
}
