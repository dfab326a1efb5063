package consensus

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
)

// restartStore starts the next run of a store on the same disk.
func restartStore(stores map[ids.Address]*testStore, at ids.Address, proposerID uint64, change ChangeFunc) {
	old := stores[at]
	stores[at] = newTestStore(old.StoreID(), old.disk, proposerID, change, rand.New(rand.NewPCG(1, proposerID)))
}

// withholdResponses syncs a store's disk and returns its responses to one address instead of
// sending them. Responses to other addresses are lost; commands that don't wait for the disk
// stay in the store's outbox.
func withholdResponses(s *testStore, to ids.Address) []event.Send {
	var withheld []event.Send
	var others []event.Command
	for _, c := range s.Drain() {
		sync, ok := c.(event.Sync)
		if !ok {
			others = append(others, c)
			continue
		}
		s.disk.Write(sync.Records)
		s.Acceptor.Synced(sync.Batch)
		for _, after := range sync.After {
			if send, ok := after.(event.Send); ok && send.To == to {
				withheld = append(withheld, send)
			}
		}
	}
	for _, c := range others {
		s.Emit(c)
	}
	return withheld
}

// A vote for a value of an earlier run that arrives after the proposer's restart must not count
// for the value of the new run.
func TestProposer_IgnoresVoteForEarlierRun(t *testing.T) {
	is := is.New(t)
	stores := newTestStores()
	deliverAll(1, stores, allLinks)
	// Use this run's first round ID for another register. The second run uses its first one for
	// a round that is rejected for its low ballot. If each run counted its round IDs from 1, the
	// rounds that send the two values would share an ID.
	stores["a"].Submit(1, "w0", Request{ID: 1, Key: "y", Op: opAppend, TimeoutMillis: 60000})
	deliverAll(1, stores, allLinks)
	submit := func(arg string) {
		stores["a"].Submit(1, "w", Request{ID: 1, Key: "x", Op: opAppend, Arg: []byte(arg), TimeoutMillis: 60000})
	}
	// Connects a and b until a proposes a value; c is disconnected.
	untilProposed := func(from, to ids.Address) bool {
		r := stores["a"].rounds["x"]
		return from != "c" && to != "c" && (from != "a" || r == nil || r.phase == preparing)
	}
	submit("1")
	deliverAll(1, stores, untilProposed)
	firstRun := stores["a"].rounds["x"]
	is.Equal(firstRun.phase, accepting)
	b := stores["b"]
	b.HandleAccept("a", Accept{Key: "x", Ballot: firstRun.ballot, NextBallot: firstRun.nextBallot, VoterSetNumber: 1, Round: firstRun.id, Value: firstRun.value})
	late := withholdResponses(b, "a")
	is.Equal(len(late), 1)
	restartStore(stores, "a", 1|1<<30, appendArg)
	submit("2")
	deliverAll(1, stores, untilProposed)
	later := ids.Time(time.Second)
	stores["a"].Proposer.Tick(later)
	is.Equal(len(deliverAll(later, stores, untilProposed)), 0)
	is.Equal(stores["a"].rounds["x"].phase, accepting)
	for _, s := range late {
		stores["a"].deliver(later, "b", s.Message)
	}
	stores["a"].Proposer.Tick(later.Add(replicationGrace))
	responses := deliverAll(later, stores, noLinks)
	if len(responses) > 0 {
		_, accepted := b.AcceptedValue("x")
		t.Fatalf("the client received %q, but b accepted %q and c nothing", responses["w"][0].Result, accepted)
	}
}

// A read must not use a promise to a read of an earlier run: its value may have been replaced
// since.
func TestProposer_IgnoresPromiseToEarlierRun(t *testing.T) {
	is := is.New(t)
	stores := newTestStores()
	deliverAll(1, stores, allLinks)
	read := Request{ID: 1, Key: "x", Op: Read, TimeoutMillis: 60000}
	stores["a"].Submit(1, "w1", read)
	var prepare Prepare
	for _, c := range stores["a"].Drain() {
		if s, ok := c.(event.Send); ok && s.To == "b" {
			prepare = s.Message.(Prepare)
		}
	}
	stores["b"].HandlePrepare("a", prepare)
	stores["c"].HandlePrepare("a", prepare)
	late := append(withholdResponses(stores["b"], "a"), withholdResponses(stores["c"], "a")...)
	is.Equal(len(late), 2)
	stores["b"].IsReachable = func(store uint64) bool { return store != 1 }
	stores["b"].Submit(1, "w2", Request{ID: 1, Key: "x", Op: opAppend, Arg: []byte("new"), TimeoutMillis: 60000})
	withoutA := func(from, to ids.Address) bool { return from != "a" && to != "a" }
	is.Equal(mustSucceed(t, deliverAll(1, stores, withoutA), "w2"), "new")
	restartStore(stores, "a", 1|1<<30, appendArg)
	stores["a"].Submit(1, "w3", read)
	for _, s := range late {
		stores["a"].deliver(1, s.To, s.Message)
	}
	responses := deliverAll(1, stores, noLinks)
	if len(responses) > 0 {
		t.Fatalf("the read received %+v from promises to an earlier run", responses)
	}
}

// Round IDs are unique across stores and their runs.
func TestProposer_RunsShareNoRoundID(t *testing.T) {
	is := is.New(t)
	seen := map[uint64]bool{}
	for store := range uint64(200) {
		for run := range uint64(50) {
			p := NewProposer(store<<24|run, nil, nil, nil, nil)
			for n := range uint64(20) {
				is.True(!seen[p.lastRoundID+n+1])
				seen[p.lastRoundID+n+1] = true
			}
		}
	}
}
