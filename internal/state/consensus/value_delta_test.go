package consensus

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/transport/wire"
)

// meteredNetwork counts what went between the stores.
type meteredNetwork struct {
	bytes, wholeValues, deltas int
	// earlierVersion is a store of an earlier version.
	earlierVersion ids.Address
}

// deliverAll lets messages pass and counts them; down holds stores that hear nothing.
func (n *meteredNetwork) deliverAll(all map[ids.Address]*testStore, now ids.Time, down map[ids.Address]bool) []Response {
	var told []Response
	for busy := true; busy; {
		busy = false
		for _, at := range []ids.Address{"a", "b", "c"} {
			list := all[at].Drain()
			for len(list) > 0 {
				c := list[0]
				list = list[1:]
				switch c := c.(type) {
				case event.Sync:
					all[at].disk.write(c.Records)
					all[at].Acceptor.Synced(c.Batch)
					list = append(append([]event.Command{}, c.After...), list...)
				case event.Send:
					busy = true
					if r, ok := c.Msg.(Response); ok {
						told = append(told, r)
					} else if to := all[c.To]; to != nil && (c.To == at || !down[at] && !down[c.To]) {
						n.count(c)
						n.deliver(now, to, at, c)
					}
				}
			}
		}
	}
	return told
}

// deliver hands a message over; an earlier version skips what it doesn't know.
func (n *meteredNetwork) deliver(now ids.Time, to *testStore, from ids.Address, c event.Send) {
	switch m := c.Msg.(type) {
	case AcceptDifference:
		if c.To != n.earlierVersion {
			deliver(now, to, from, m)
		}
	case Accepted:
		m.ReadsDeltas = m.ReadsDeltas && from != n.earlierVersion
		deliver(now, to, from, m)
	default:
		deliver(now, to, from, m)
	}
}

func (n *meteredNetwork) count(c event.Send) {
	raw, _ := wire.Encode(c.Msg)
	n.bytes += len(raw)
	switch m := c.Msg.(type) {
	case Accept:
		n.wholeValues += min(len(m.Value)/minDeltaValueSize, 1)
	case AcceptDifference:
		n.deltas++
	}
}

// run submits a change at a store and lets time pass until it is answered.
func (n *meteredNetwork) run(t *testing.T, all map[ids.Address]*testStore, at ids.Address, now *ids.Time, arg string, down map[ids.Address]bool) {
	t.Helper()
	all[at].Submit(*now, "w", Request{ID: 1, Key: "policy", Op: opAdd, Arg: []byte(arg), TimeoutMillis: 60000})
	for range 100 {
		if told := n.deliverAll(all, *now, down); len(told) > 0 {
			if told[0].Outcome != Succeeded {
				t.Fatalf("%q: %s", arg, told[0].Outcome)
			}
			return
		}
		*now = now.Add(20 * time.Millisecond)
		for _, r := range all {
			r.Proposer.Tick(*now)
		}
	}
	t.Fatalf("%q was never answered", arg)
}

func mustAllHold(t *testing.T, all map[ids.Address]*testStore, want []byte) {
	t.Helper()
	b, _ := all["a"].AcceptedValue("policy")
	for at, r := range all {
		has, got := r.AcceptedValue("policy")
		onDisk, err := loadRegister(r.disk, "policy")
		if err != nil || has != b || !bytes.Equal(got, want) || !bytes.Equal(onDisk.Value, want) {
			t.Fatalf("%s holds %v, %d bytes; want %v, %d bytes (%v)", at, has, len(got), b, len(want), err)
		}
	}
}

// A change travels as its difference, and every store holds the very same bytes.
// One that missed changes, or whose proposer is new, is sent the value whole once.
func TestProposer_SendsChangesAsDeltas(t *testing.T) {
	is := is.New(t)
	all := newTestStores(t)
	now, w, nobody := ids.Time(1), &meteredNetwork{}, map[ids.Address]bool{}
	want := randomText(rand.New(rand.NewPCG(1, 1)), 200_000)
	w.run(t, all, "a", &now, string(want), nobody)
	change := func(at ids.Address, i int, down map[ids.Address]bool) {
		arg := fmt.Sprintf("change %d;", i)
		w.run(t, all, at, &now, arg, down)
		want = append(want, arg...)
	}
	change("a", 0, nobody)
	mustAllHold(t, all, want)
	*w = meteredNetwork{}
	for i := range 50 {
		change("a", i, nobody)
	}
	mustAllHold(t, all, want)
	is.Equal(w.wholeValues, 0)
	is.Equal(w.deltas, 150)
	is.True(w.bytes/50 < 1500) // to three stores and back
	// c is away for 300 changes, then holds what the others do after one.
	for i := range 300 {
		change("a", i, map[ids.Address]bool{"c": true})
	}
	*w = meteredNetwork{}
	change("a", 301, nobody)
	mustAllHold(t, all, want)
	is.Equal(w.wholeValues, 1)
	// Another proposer reads, then goes on by differences.
	change("b", 302, nobody)
	*w = meteredNetwork{}
	change("b", 303, nobody)
	mustAllHold(t, all, want)
	is.Equal(w.wholeValues, 0)
}

// A store of an earlier version skips what it doesn't know; it is sent the value
// whole, also if it went back to that version.
func TestProposer_SendsWholeValuesToEarlierVersions(t *testing.T) {
	all := newTestStores(t)
	now, w := ids.Time(1), &meteredNetwork{}
	want := randomText(rand.New(rand.NewPCG(1, 1)), 20_000)
	w.run(t, all, "a", &now, string(want), nil)
	w.earlierVersion = "b"
	for i := range 6 {
		arg := fmt.Sprint("change ", i)
		w.run(t, all, "a", &now, arg, nil)
		want = append(want, arg...)
	}
	mustAllHold(t, all, want)
}

// A difference to anything but the value held does nothing at all.
func TestAcceptor_DeltaToAnotherBaseChangesNothing(t *testing.T) {
	is := is.New(t)
	all := newTestStores(t)
	now, w := ids.Time(1), &meteredNetwork{}
	w.run(t, all, "a", &now, string(randomText(rand.New(rand.NewPCG(1, 1)), 20_000)), nil)
	b := all["b"]
	held, value := b.AcceptedValue("policy")
	next := ids.Ballot{Counter: held.Counter + 100, Proposer: 1}
	for _, m := range []AcceptDifference{
		{BaseBallot: ids.Ballot{Counter: held.Counter - 1, Proposer: held.Proposer}, Delta: nil},
		{BaseBallot: held, Delta: []byte("damaged")},
		{BaseBallot: held, Delta: nil},
	} {
		m.Key, m.Ballot, m.VoterSetNumber, m.Round = "policy", next, 1, 9
		b.HandleAcceptDifference("a", m)
		list := b.Drain()
		is.Equal(len(list), 1)
		answer := list[0].(event.Sync)
		is.Equal(len(answer.Records), 0)
		vote := answer.After[0].(event.Send).Msg.(Accepted)
		is.True(!vote.OK && vote.NeedsWholeValue)
		has, got := b.AcceptedValue("policy")
		is.Equal(has, held)
		is.True(bytes.Equal(got, value))
	}
}

// A store that came back is found behind by the next reading, and brought up with
// no change made.
func TestProposer_CatchesUpReturningStore(t *testing.T) {
	for _, promised := range []bool{false, true} {
		checkCatchUp(t, promised)
	}
}

func checkCatchUp(t *testing.T, promised bool) {
	t.Helper()
	is := is.New(t)
	all := newTestStores(t)
	now, w, nobody := ids.Time(1), &meteredNetwork{}, map[ids.Address]bool{}
	want := randomText(rand.New(rand.NewPCG(1, 1)), 20_000)
	w.run(t, all, "a", &now, string(want), nobody)
	for range 300 {
		w.run(t, all, "a", &now, "x", map[ids.Address]bool{"c": true})
		want = append(want, 'x')
	}
	if promised {
		// Its own proposer asked, as it came back, under a ballot above all others.
		c := all["c"]
		c.HandlePrepare("c", Prepare{Key: "policy", Ballot: ids.Ballot{Counter: 1 << 50, Proposer: 3}, VoterSetNumber: 1, Round: 1})
	}
	back := now
	read := func() {
		all["b"].Submit(now, "w", Request{ID: 1, Key: "policy", Op: Read, TimeoutMillis: 60000})
	}
	for now.Sub(back) < 2*time.Second {
		if now.Sub(back)%(500*time.Millisecond) == 0 {
			read() // as registries do
		}
		w.deliverAll(all, now, nobody)
		now = now.Add(20 * time.Millisecond)
		for _, r := range all {
			r.Proposer.Tick(now)
		}
	}
	mustAllHold(t, all, want)
	is.True(w.wholeValues >= 2)
}
