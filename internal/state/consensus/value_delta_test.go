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

// countingNetwork delivers messages between stores, and counts them and their bytes.
type countingNetwork struct {
	bytes, fullValues, deltas int
	// earlierVersion is a store that runs a version without AcceptDelta, empty for none.
	earlierVersion ids.Address
}

// deliverAll delivers messages until none is left, except those from or to a store that is
// down, and returns the responses to clients.
func (n *countingNetwork) deliverAll(stores map[ids.Address]*testStore, now ids.Time, down map[ids.Address]bool) []Response {
	var responses []Response
	exchange(stores, func(from ids.Address, c event.Send) {
		if r, ok := c.Message.(Response); ok {
			responses = append(responses, r)
			return
		}
		if to := stores[c.To]; to != nil && (c.To == from || !down[from] && !down[c.To]) {
			n.count(c)
			n.deliver(now, to, from, c)
		}
	})
	return responses
}

// deliver delivers a message. A store of an earlier version ignores AcceptDelta.
func (n *countingNetwork) deliver(now ids.Time, to *testStore, from ids.Address, c event.Send) {
	switch m := c.Message.(type) {
	case AcceptDelta:
		if c.To != n.earlierVersion {
			to.deliver(now, from, m)
		}
	case Accepted:
		m.SupportsDeltas = m.SupportsDeltas && from != n.earlierVersion
		to.deliver(now, from, m)
	default:
		to.deliver(now, from, m)
	}
}

func (n *countingNetwork) count(c event.Send) {
	raw, _ := wire.Encode(c.Message)
	n.bytes += len(raw)
	switch m := c.Message.(type) {
	case Accept:
		n.fullValues += min(len(m.Value)/minDeltaValueSize, 1)
	case AcceptDelta:
		n.deltas++
	}
}

// run submits a change to a store and advances the time until the store responds.
func (n *countingNetwork) run(t *testing.T, stores map[ids.Address]*testStore, at ids.Address, now *ids.Time, arg string, down map[ids.Address]bool) {
	t.Helper()
	stores[at].Submit(*now, "w", Request{ID: 1, Key: "policy", Op: opAppend, Arg: []byte(arg), TimeoutMillis: 60000})
	for range 100 {
		if responses := n.deliverAll(stores, *now, down); len(responses) > 0 {
			if responses[0].Outcome != Succeeded {
				t.Fatalf("%q: %s", arg, responses[0].Outcome)
			}
			return
		}
		*now = now.Add(20 * time.Millisecond)
		tickAll(stores, *now)
	}
	t.Fatalf("%q: no response", arg)
}

func tickAll(stores map[ids.Address]*testStore, now ids.Time) {
	for _, s := range stores {
		s.Proposer.Tick(now)
	}
}

// mustAllHold checks that every store holds the value under the same ballot, in memory and on
// disk.
func mustAllHold(t *testing.T, stores map[ids.Address]*testStore, want []byte) {
	t.Helper()
	wantBallot, _ := stores["a"].AcceptedValue("policy")
	for at, s := range stores {
		ballot, got := s.AcceptedValue("policy")
		onDisk, err := loadRegister(s.disk, "policy")
		if err != nil || ballot != wantBallot || !bytes.Equal(got, want) || !bytes.Equal(onDisk.Value, want) {
			t.Fatalf("%s holds %v, %d bytes; want %v, %d bytes (%v)", at, ballot, len(got), wantBallot, len(want), err)
		}
	}
}

// Changes are sent as deltas, from which all stores derive the same value. A store that missed
// changes receives the full value once.
func TestProposer_SendsChangesAsDeltas(t *testing.T) {
	is := is.New(t)
	stores := newTestStores()
	now, network, noneDown := ids.Time(1), &countingNetwork{}, map[ids.Address]bool{}
	want := randomText(rand.New(rand.NewPCG(1, 1)), 200_000)
	network.run(t, stores, "a", &now, string(want), noneDown)
	change := func(at ids.Address, i int, down map[ids.Address]bool) {
		arg := fmt.Sprintf("change %d;", i)
		network.run(t, stores, at, &now, arg, down)
		want = append(want, arg...)
	}
	change("a", 0, noneDown)
	mustAllHold(t, stores, want)
	*network = countingNetwork{}
	for i := range 50 {
		change("a", i, noneDown)
	}
	mustAllHold(t, stores, want)
	is.Equal(network.fullValues, 0)
	is.Equal(network.deltas, 150)
	is.True(network.bytes/50 < 1500) // requests to three stores and their responses
	// c misses 300 changes while it is down, and catches up with the next one.
	for i := range 300 {
		change("a", i, map[ids.Address]bool{"c": true})
	}
	*network = countingNetwork{}
	change("a", 301, noneDown)
	mustAllHold(t, stores, want)
	is.Equal(network.fullValues, 1)
	// Another proposer sends deltas after its first change.
	change("b", 302, noneDown)
	*network = countingNetwork{}
	change("b", 303, noneDown)
	mustAllHold(t, stores, want)
	is.Equal(network.fullValues, 0)
}

// A store of an earlier version ignores AcceptDelta, so it must receive full values, even if it
// supported deltas before a downgrade.
func TestProposer_SendsFullValuesToEarlierVersions(t *testing.T) {
	stores := newTestStores()
	now, network := ids.Time(1), &countingNetwork{}
	want := randomText(rand.New(rand.NewPCG(1, 1)), 20_000)
	network.run(t, stores, "a", &now, string(want), nil)
	network.earlierVersion = "b"
	for i := range 6 {
		arg := fmt.Sprint("change ", i)
		network.run(t, stores, "a", &now, arg, nil)
		want = append(want, arg...)
	}
	mustAllHold(t, stores, want)
}

// The next read detects a store that missed changes while it was down, and the proposer catches
// it up without a change to the register.
func TestProposer_CatchesUpReturningStore(t *testing.T) {
	for name, promisedHigher := range map[string]bool{"outdated value": false, "higher promise": true} {
		t.Run(name, func(t *testing.T) { checkCatchUp(t, promisedHigher) })
	}
}

func checkCatchUp(t *testing.T, promisedHigher bool) {
	t.Helper()
	is := is.New(t)
	stores := newTestStores()
	now, network, noneDown := ids.Time(1), &countingNetwork{}, map[ids.Address]bool{}
	want := randomText(rand.New(rand.NewPCG(1, 1)), 20_000)
	network.run(t, stores, "a", &now, string(want), noneDown)
	for range 300 {
		network.run(t, stores, "a", &now, "x", map[ids.Address]bool{"c": true})
		want = append(want, 'x')
	}
	if promisedHigher {
		// c's own proposer prepared a ballot above all others when c came back.
		stores["c"].HandlePrepare("c", Prepare{Key: "policy", Ballot: ids.Ballot{Counter: 1 << 50, Proposer: 3}, VoterSetNumber: 1, Round: 1})
	}
	returned := now
	for now.Sub(returned) < 2*time.Second {
		if now.Sub(returned)%(500*time.Millisecond) == 0 {
			// Registries read at this interval.
			stores["b"].Submit(now, "w", Request{ID: 1, Key: "policy", Op: Read, TimeoutMillis: 60000})
		}
		network.deliverAll(stores, now, noneDown)
		now = now.Add(20 * time.Millisecond)
		tickAll(stores, now)
	}
	mustAllHold(t, stores, want)
	is.True(network.fullValues >= 2)
}
