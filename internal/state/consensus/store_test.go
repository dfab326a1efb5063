package consensus

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/transport/wire"
)

// memoryDisk is a disk that syncs at once.
type memoryDisk map[ids.RegisterKey][]byte

func (m memoryDisk) Get(k ids.RegisterKey) ([]byte, bool) { v, ok := m[k]; return v, ok }

func (m memoryDisk) Scan(after ids.RegisterKey, n int) []event.Record {
	var list []event.Record
	for _, k := range slices.Sorted(maps.Keys(m)) {
		if k > after && k < "item0" && len(list) < n {
			list = append(list, event.Record{Key: k, Value: m[k]})
		}
	}
	return list
}

func (m memoryDisk) write(list []event.Record) {
	for _, r := range list {
		if r.Delete {
			delete(m, r.Key)
		} else {
			m[r.Key] = r.Value
		}
	}
}

// testStore is one store with its acceptor and proposer, driven by hand.
type testStore struct {
	event.Outbox
	disk memoryDisk
	*Acceptor
	*Proposer
}

const opAdd Op = 99

func appendArg(_ ids.RegisterKey, old, arg []byte) ([]byte, []byte) {
	next := append(append([]byte{}, old...), arg...)
	return next, next
}

func newTestStores(t *testing.T) map[ids.Address]*testStore {
	t.Helper()
	r := VoterSet{Number: 1, Voters: []Voter{{1, "a"}, {2, "b"}, {3, "c"}}}
	out := map[ids.Address]*testStore{}
	for i, at := range []ids.Address{"a", "b", "c"} {
		x := &testStore{disk: memoryDisk{}}
		x.Acceptor = NewAcceptor(uint64(i+1), x.disk, &x.Outbox)
		x.Proposer = NewProposer(uint64(i+1), x.Acceptor.VoterSet, map[Op]ChangeFunc{opAdd: appendArg}, rand.New(rand.NewPCG(1, uint64(i))), &x.Outbox)
		x.MarkComplete()
		x.AdoptVoterSet(r)
		out[at] = x
	}
	return out
}

// deliverAll lets messages through until none is left; pass decides which may.
func deliverAll(now ids.Time, all map[ids.Address]*testStore, pass func(from, to ids.Address) bool) map[ids.Address][]Response {
	told := map[ids.Address][]Response{}
	for busy := true; busy; {
		busy = false
		for _, at := range []ids.Address{"a", "b", "c"} {
			r := all[at]
			list := r.Drain()
			for len(list) > 0 {
				c := list[0]
				list = list[1:]
				switch c := c.(type) {
				case event.Sync:
					r.disk.write(c.Records)
					r.Acceptor.Synced(c.Batch)
					list = append(append([]event.Command{}, c.After...), list...)
				case event.Send:
					busy = true
					if x, ok := c.Msg.(Response); ok {
						told[c.To] = append(told[c.To], x)
						continue
					}
					if to := all[c.To]; to != nil && (c.To == at || pass(at, c.To)) {
						deliver(now, to, at, c.Msg)
					}
				}
			}
		}
	}
	return told
}

func deliver(now ids.Time, r *testStore, from ids.Address, msg any) {
	switch m := msg.(type) {
	case Prepare:
		r.HandlePrepare(from, m)
	case Accept:
		r.HandleAccept(from, m)
	case AcceptDifference:
		r.HandleAcceptDifference(from, m)
	case Promise:
		r.HandlePromise(now, m)
	case Accepted:
		r.HandleAccepted(now, m)
	}
}

func allLinks(ids.Address, ids.Address) bool { return true }

func soleResult(t *testing.T, told map[ids.Address][]Response, who ids.Address) string {
	t.Helper()
	if len(told[who]) != 1 || told[who][0].Outcome != Succeeded {
		t.Fatalf("%s was told %+v", who, told[who])
	}
	return string(told[who][0].Result)
}

// Recorded from seed 2 of the simulator: a proposer that is cut off sends its
// next value with no Prepare, to its own acceptor alone, while the others go
// on. Its value must not win once the split ends.
func TestProposer_ValueOfPartitionedProposerDoesNotWin(t *testing.T) {
	is := is.New(t)
	all := newTestStores(t)
	ask := func(at, who ids.Address, now time.Duration, arg string) {
		all[at].Submit(ids.Time(now), who, Request{ID: 1, Key: "x", Op: opAdd, Arg: []byte(arg), TimeoutMillis: 60000})
	}
	ask("a", "w1", 1, "1")
	is.Equal(soleResult(t, deliverAll(1, all, allLinks), "w1"), "1")
	// Other work has taken a's ballots far beyond what the others use.
	for range 10 {
		all["a"].Submit(1, "w0", Request{ID: 1, Key: "y", Op: opAdd, TimeoutMillis: 60000})
		deliverAll(1, all, allLinks)
	}
	// Cut off: a's next value reaches a alone.
	split := func(from, to ids.Address) bool { return from != "a" && to != "a" }
	ask("a", "w2", 2, "2")
	is.Equal(len(deliverAll(2, all, split)), 0)
	for i, arg := range []string{"3", "4", "5"} {
		now := time.Duration(10+i) * time.Second
		ask("b", ids.Address("w"+arg), now, arg)
		for step := range 10 {
			at := ids.Time(now).Add(time.Duration(step) * 60 * time.Millisecond)
			all["b"].Proposer.Tick(at)
			if told := deliverAll(at, all, split); len(told) > 0 {
				is.Equal(soleResult(t, told, ids.Address("w"+arg)), "1345"[:i+2])
				break
			}
		}
	}
	// The split ends, for a and b at first: a's change comes after the others', or not at all.
	for step := range 20 {
		at := ids.Time(20 * time.Second).Add(time.Duration(step) * 150 * time.Millisecond)
		all["a"].Proposer.Tick(at)
		if told := deliverAll(at, all, func(from, to ids.Address) bool { return from != "c" && to != "c" }); len(told) > 0 {
			is.Equal(soleResult(t, told, "w2"), "13452")
			return
		}
	}
	t.Fatal("the change of a was never answered")
}

// A ballot below a promise is rejected, and the promise is on the disk.
func TestAcceptor_PromiseSurvivesRestart(t *testing.T) {
	is := is.New(t)
	all := newTestStores(t)
	deliverAll(1, all, allLinks)
	b := all["b"]
	b.HandlePrepare("a", Prepare{Key: "x", Ballot: ids.Ballot{Counter: 5, Proposer: 1}, VoterSetNumber: 1, Round: 1})
	deliverAll(1, all, func(ids.Address, ids.Address) bool { return false })
	again := &testStore{disk: b.disk}
	again.Acceptor = NewAcceptor(2, b.disk, &again.Outbox)
	again.HandleAccept("c", Accept{Key: "x", Ballot: ids.Ballot{Counter: 4, Proposer: 3}, VoterSetNumber: 1, Round: 2, Value: []byte("old")})
	s := again.Drain()[0].(event.Sync)
	is.Equal(len(s.Records), 0)
	is.Equal(s.After[0].(event.Send).Msg.(Accepted).OK, false)
	// A lower voter set has no say at all: it is told of the higher one.
	again.AdoptVoterSet(VoterSet{Number: 2, Voters: []Voter{{2, "b"}}})
	again.Drain()
	again.HandleAccept("c", Accept{Key: "x", Ballot: ids.Ballot{Counter: 9, Proposer: 3}, VoterSetNumber: 1})
	_, news := again.Drain()[0].(event.Sync).After[0].(event.Send).Msg.(VoterSetUpdate)
	is.True(news)
}

// While a voter set is joint, a majority of either side alone decides nothing.
func TestVoterSet_JointQuorumNeedsBothMajorities(t *testing.T) {
	is := is.New(t)
	r := VoterSet{Number: 2, Voters: []Voter{{ID: 1}, {ID: 2}, {ID: 3}}, Incoming: []Voter{{ID: 1}, {ID: 4}, {ID: 5}}}
	is.True(!r.IsQuorum(map[uint64]bool{2: true, 3: true}))
	is.True(!r.IsQuorum(map[uint64]bool{4: true, 5: true}))
	is.True(r.IsQuorum(map[uint64]bool{1: true, 2: true, 4: true}))
	old, _ := encodeVoterSet(nil, VoterSet{Number: 1, Voters: r.Voters})
	arg := func(j JoinRequest) []byte { raw, _ := encode(j); return raw }
	next, _ := joinVoter("", old, arg(JoinRequest{New: Voter{ID: 9}, LostID: 3}))
	got, _ := DecodeVoterSet(next)
	is.Equal(got.Number, uint64(2))
	is.Equal(got.Incoming[2].ID, uint64(9))
	// A second replacement waits; asking again changes nothing.
	same, _ := joinVoter("", next, arg(JoinRequest{New: Voter{ID: 8}, LostID: 2}))
	is.Equal(same, next)
}

func encode(msg any) ([]byte, error) { return wire.Encode(msg) }
