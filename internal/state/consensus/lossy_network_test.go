package consensus

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
)

// appendOnce appends a token that isn't there yet, as every change function must
// know a change that it has made before.
func appendOnce(_ ids.RegisterKey, old, arg []byte) ([]byte, []byte) {
	if bytes.Contains(old, arg) {
		return old, old
	}
	next := append(append([]byte{}, old...), arg...)
	return next, next
}

// lossyNetwork is three stores whose messages are lost, doubled and late, and which
// are killed and started again from their disks.
type lossyNetwork struct {
	random    *rand.Rand
	now       ids.Time
	stores    map[ids.Address]*testStore
	inTransit []event.Send
	senders   []ids.Address
	responses []Response
	runCount  uint64
	// cutOff is a store that hears nothing for some steps.
	cutOff      ids.Address
	cutOffSteps int
	// deltas counts the votes that a difference brought about, wholes the
	// times that a store asked for the value itself.
	deltas, wholeValueRequests int
}

func newLossyNetwork(seed uint64) *lossyNetwork {
	l := &lossyNetwork{random: rand.New(rand.NewPCG(seed, 7)), now: 1, stores: map[ids.Address]*testStore{}}
	for i, at := range []ids.Address{"a", "b", "c"} {
		l.stores[at] = &testStore{disk: memoryDisk{}}
		l.start(at, uint64(i+1))
		l.stores[at].MarkComplete()
		l.stores[at].AdoptVoterSet(VoterSet{Number: 1, Voters: []Voter{{1, "a"}, {2, "b"}, {3, "c"}}})
	}
	return l
}

func (l *lossyNetwork) start(at ids.Address, store uint64) {
	l.runCount++
	r := &testStore{disk: l.stores[at].disk}
	r.Acceptor = NewAcceptor(store, r.disk, &r.Outbox)
	r.Proposer = NewProposer(store<<24|l.runCount, r.Acceptor.VoterSet, map[Op]ChangeFunc{opAdd: appendOnce}, l.random, &r.Outbox)
	l.stores[at] = r
}

// collect carries out what stores asked for; messages go under way.
func (l *lossyNetwork) collect() {
	for _, at := range []ids.Address{"a", "b", "c"} {
		list := l.stores[at].Drain()
		for len(list) > 0 {
			c := list[0]
			list = list[1:]
			switch c := c.(type) {
			case event.Sync:
				l.stores[at].disk.write(c.Records)
				l.stores[at].Acceptor.Synced(c.Batch)
				list = append(append([]event.Command{}, c.After...), list...)
			case event.Send:
				if r, ok := c.Msg.(Response); ok {
					l.responses = append(l.responses, r)
					continue
				}
				for n := l.random.IntN(20); n > 0; n -= 17 { // one in twenty lost, two doubled
					l.inTransit, l.senders = append(l.inTransit, c), append(l.senders, at)
				}
			}
		}
	}
}

func (l *lossyNetwork) step() {
	l.collect()
	if l.cutOffSteps--; l.cutOffSteps <= 0 {
		l.cutOff = ""
	}
	switch n := l.random.IntN(400); {
	case n == 0:
		i := l.random.IntN(3)
		l.start([]ids.Address{"a", "b", "c"}[i], uint64(i+1))
	case n < 3 && l.cutOff == "":
		l.cutOff, l.cutOffSteps = []ids.Address{"a", "b", "c"}[l.random.IntN(3)], 300
	case n < 60 || len(l.inTransit) == 0:
		l.now = l.now.Add(20 * time.Millisecond)
		for _, at := range []ids.Address{"a", "b", "c"} {
			l.stores[at].Proposer.Tick(l.now)
		}
	default:
		// Mostly in order, sometimes any of those under way.
		i := 0
		if l.random.IntN(6) == 0 {
			i = l.random.IntN(len(l.inTransit))
		}
		c, from := l.inTransit[i], l.senders[i]
		l.inTransit, l.senders = append(l.inTransit[:i], l.inTransit[i+1:]...), append(l.senders[:i], l.senders[i+1:]...)
		if c.To != l.cutOff {
			l.deliver(from, c)
		}
	}
}

// deliver gives a message to its store, and counts what came of a difference.
func (l *lossyNetwork) deliver(from ids.Address, c event.Send) {
	to := l.stores[c.To]
	if vote, ok := c.Msg.(Accepted); ok && vote.NeedsWholeValue {
		l.wholeValueRequests++
	}
	v, ok := c.Msg.(AcceptDifference)
	if !ok {
		deliver(l.now, to, from, c.Msg)
		return
	}
	held, _ := to.AcceptedValue(v.Key)
	deliver(l.now, to, from, c.Msg)
	if now, _ := to.AcceptedValue(v.Key); now != held && now == v.Ballot {
		l.deltas++
	}
}

// Whatever is lost, doubled, late or killed: all values told are one history, no
// change told as made is ever missing from it, and differences carry most of it.
func TestDeltas_OneHistoryUnderLossAndRestarts(t *testing.T) {
	differences, wholes := 0, 0
	for seed := range uint64(60) {
		l := newLossyNetwork(seed)
		base := randomText(rand.New(rand.NewPCG(seed, 1)), 6000)
		for i := range 40 {
			arg := []byte(fmt.Sprintf("<%d>", i))
			if i == 0 {
				arg = base
			}
			at := []ids.Address{"a", "b", "c"}[l.random.IntN(3)]
			l.stores[at].Submit(l.now, "w", Request{ID: uint64(i), Key: "policy", Op: opAdd, Arg: arg, TimeoutMillis: 3000})
			for range 60 {
				l.step()
			}
		}
		for range 2000 {
			l.step()
		}
		checkOneHistory(t, seed, l.responses)
		differences, wholes = differences+l.deltas, wholes+l.wholeValueRequests
	}
	t.Logf("votes by difference: %d, asked for whole: %d", differences, wholes)
	if differences < 1000 || wholes < 50 {
		t.Fatal("too few of either: the test shows little")
	}
}

func checkOneHistory(t *testing.T, seed uint64, told []Response) {
	t.Helper()
	var longest []byte
	for _, r := range told {
		if r.Outcome == Succeeded && len(r.Result) > len(longest) {
			longest = r.Result
		}
	}
	for _, r := range told {
		if r.Outcome == Succeeded && !bytes.HasPrefix(longest, r.Result) {
			t.Fatalf("seed %d: change %d was told a value that the last one doesn't lead on from", seed, r.ID)
		}
	}
}
