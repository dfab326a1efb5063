package consensus

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
)

// restartStore gives a store's next run on the same disk.
func restartStore(all map[ids.Address]*testStore, at ids.Address, by uint64) {
	old := all[at]
	x := &testStore{disk: old.disk}
	x.Acceptor = NewAcceptor(old.StoreID(), x.disk, &x.Outbox)
	x.Proposer = NewProposer(by, x.Acceptor.VoterSet, map[Op]ChangeFunc{opAdd: appendArg}, rand.New(rand.NewPCG(1, by)), &x.Outbox)
	all[at] = x
}

// withholdAnswers takes the answers that one store has for another off the network.
func withholdAnswers(r *testStore, to ids.Address) []event.Send {
	var held []event.Send
	var rest []event.Command
	for _, c := range r.Drain() {
		sync, ok := c.(event.Sync)
		if !ok {
			rest = append(rest, c)
			continue
		}
		for _, rec := range sync.Records {
			r.disk[rec.Key] = rec.Value
		}
		r.Acceptor.Synced(sync.Batch)
		for _, then := range sync.After {
			if s, ok := then.(event.Send); ok && s.To == to {
				held = append(held, s)
			}
		}
	}
	for _, c := range rest {
		r.Emit(c)
	}
	return held
}

// A vote for a value of an earlier run waits in its sender's queue while the
// proposer restarts. It must not count as a vote for the new run's value.
func TestProposer_IgnoresVoteForEarlierRun(t *testing.T) {
	is := is.New(t)
	all := newTestStores(t)
	deliverAll(1, all, allLinks)
	// Another register took the first round, as it will in the second run a
	// round that is turned down for its low ballot.
	all["a"].Submit(1, "w0", Request{ID: 1, Key: "y", Op: opAdd, TimeoutMillis: 60000})
	deliverAll(1, all, allLinks)
	wish := func(arg string) {
		all["a"].Submit(1, "w", Request{ID: 1, Key: "x", Op: opAdd, Arg: []byte(arg), TimeoutMillis: 60000})
	}
	// Until a proposes, a and b hear one another; c hears nobody.
	prepared := func(from, to ids.Address) bool {
		r := all["a"].rounds["x"]
		return from != "c" && to != "c" && (from != "a" || r == nil || r.phase == preparing)
	}
	wish("1")
	deliverAll(1, all, prepared)
	first := all["a"].rounds["x"]
	is.Equal(first.phase, accepting)
	b := all["b"]
	b.HandleAccept("a", Accept{Key: "x", Ballot: first.ballot, NextBallot: first.nextBallot, VoterSetNumber: 1, Round: first.id, Value: first.value})
	late := withholdAnswers(b, "a")
	is.Equal(len(late), 1)
	restartStore(all, "a", 1|1<<30)
	wish("2")
	deliverAll(1, all, prepared)
	later := ids.Time(time.Second)
	all["a"].Proposer.Tick(later)
	is.Equal(len(deliverAll(later, all, prepared)), 0)
	is.Equal(all["a"].rounds["x"].phase, accepting)
	for _, s := range late {
		deliver(later, all["a"], "b", s.Msg)
	}
	all["a"].Proposer.Tick(later.Add(replicationGrace))
	told := deliverAll(later, all, func(ids.Address, ids.Address) bool { return false })
	if len(told) > 0 {
		_, held := b.AcceptedValue("x")
		t.Fatalf("the caller was told %q, while b holds %q and c nothing", told["w"][0].Result, held)
	}
}

// A promise to an earlier run's read tells of a value that may since have been
// replaced. A read of the new run must not go by it.
func TestProposer_IgnoresPromiseToEarlierRun(t *testing.T) {
	is := is.New(t)
	all := newTestStores(t)
	deliverAll(1, all, allLinks)
	read := Request{ID: 1, Key: "x", Op: Read, TimeoutMillis: 60000}
	all["a"].Submit(1, "w1", read)
	var asked Prepare
	for _, c := range all["a"].Drain() {
		if s, ok := c.(event.Send); ok && s.To == "b" {
			asked = s.Msg.(Prepare)
		}
	}
	all["b"].HandlePrepare("a", asked)
	all["c"].HandlePrepare("a", asked)
	late := append(withholdAnswers(all["b"], "a"), withholdAnswers(all["c"], "a")...)
	is.Equal(len(late), 2)
	all["b"].IsReachable = func(store uint64) bool { return store != 1 }
	all["b"].Submit(1, "w2", Request{ID: 1, Key: "x", Op: opAdd, Arg: []byte("new"), TimeoutMillis: 60000})
	is.Equal(soleResult(t, deliverAll(1, all, func(from, to ids.Address) bool { return from != "a" && to != "a" }), "w2"), "new")
	restartStore(all, "a", 1|1<<30)
	all["a"].Submit(1, "w3", read)
	for _, s := range late {
		deliver(1, all["a"], s.To, s.Msg)
	}
	told := deliverAll(1, all, func(ids.Address, ids.Address) bool { return false })
	if len(told) > 0 {
		t.Fatalf("a read after the change was told %+v", told)
	}
}

// Two runs of one store, or of two stores with the same address, share no round.
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
