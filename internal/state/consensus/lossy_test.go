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

// lossyRun is three stores whose messages are lost, doubled and late, and which
// are killed and started again from their disks.
type lossyRun struct {
	random *rand.Rand
	now    ids.Time
	all    map[ids.Address]*room
	under  []event.Send
	from   []ids.Address
	told   []Response
	run    uint64
	// deaf is a store that hears nothing for some steps.
	deaf      ids.Address
	deafSteps int
	// differences counts the votes that a difference brought about, wholes the
	// times that a store asked for the value itself.
	differences, wholes int
}

func newLossyRun(seed uint64) *lossyRun {
	l := &lossyRun{random: rand.New(rand.NewPCG(seed, 7)), now: 1, all: map[ids.Address]*room{}}
	for i, at := range []ids.Address{"a", "b", "c"} {
		l.all[at] = &room{mem: memory{}}
		l.start(at, uint64(i+1))
		l.all[at].MarkComplete()
		l.all[at].AdoptVoterSet(VoterSet{Number: 1, Voters: []Voter{{1, "a"}, {2, "b"}, {3, "c"}}})
	}
	return l
}

func (l *lossyRun) start(at ids.Address, store uint64) {
	l.run++
	r := &room{mem: l.all[at].mem}
	r.Acceptor = NewAcceptor(store, r.mem, &r.Outbox)
	r.Proposer = NewProposer(store<<24|l.run, r.Acceptor.VoterSet, map[Op]ChangeFunc{opAdd: appendOnce}, l.random, &r.Outbox)
	l.all[at] = r
}

// collect carries out what stores asked for; messages go under way.
func (l *lossyRun) collect() {
	for _, at := range []ids.Address{"a", "b", "c"} {
		list := l.all[at].Drain()
		for len(list) > 0 {
			c := list[0]
			list = list[1:]
			switch c := c.(type) {
			case event.Sync:
				l.all[at].mem.write(c.Records)
				l.all[at].Acceptor.Synced(c.Batch)
				list = append(append([]event.Command{}, c.After...), list...)
			case event.Send:
				if r, ok := c.Msg.(Response); ok {
					l.told = append(l.told, r)
					continue
				}
				for n := l.random.IntN(20); n > 0; n -= 17 { // one in twenty lost, two doubled
					l.under, l.from = append(l.under, c), append(l.from, at)
				}
			}
		}
	}
}

func (l *lossyRun) step() {
	l.collect()
	if l.deafSteps--; l.deafSteps <= 0 {
		l.deaf = ""
	}
	switch n := l.random.IntN(400); {
	case n == 0:
		i := l.random.IntN(3)
		l.start([]ids.Address{"a", "b", "c"}[i], uint64(i+1))
	case n < 3 && l.deaf == "":
		l.deaf, l.deafSteps = []ids.Address{"a", "b", "c"}[l.random.IntN(3)], 300
	case n < 60 || len(l.under) == 0:
		l.now = l.now.Add(20 * time.Millisecond)
		for _, at := range []ids.Address{"a", "b", "c"} {
			l.all[at].Proposer.Tick(l.now)
		}
	default:
		// Mostly in order, sometimes any of those under way.
		i := 0
		if l.random.IntN(6) == 0 {
			i = l.random.IntN(len(l.under))
		}
		c, from := l.under[i], l.from[i]
		l.under, l.from = append(l.under[:i], l.under[i+1:]...), append(l.from[:i], l.from[i+1:]...)
		if c.To != l.deaf {
			l.hand(from, c)
		}
	}
}

// hand gives a message to its store, and counts what came of a difference.
func (l *lossyRun) hand(from ids.Address, c event.Send) {
	to := l.all[c.To]
	if vote, ok := c.Msg.(Accepted); ok && vote.NeedsWholeValue {
		l.wholes++
	}
	v, ok := c.Msg.(AcceptDifference)
	if !ok {
		give(l.now, to, from, c.Msg)
		return
	}
	held, _ := to.AcceptedValue(v.Key)
	give(l.now, to, from, c.Msg)
	if now, _ := to.AcceptedValue(v.Key); now != held && now == v.Ballot {
		l.differences++
	}
}

// Whatever is lost, doubled, late or killed: all values told are one history, no
// change told as made is ever missing from it, and differences carry most of it.
func TestDifferencesUnderLoss(t *testing.T) {
	differences, wholes := 0, 0
	for seed := range uint64(60) {
		l := newLossyRun(seed)
		base := text(rand.New(rand.NewPCG(seed, 1)), 6000)
		for i := range 40 {
			arg := []byte(fmt.Sprintf("<%d>", i))
			if i == 0 {
				arg = base
			}
			at := []ids.Address{"a", "b", "c"}[l.random.IntN(3)]
			l.all[at].Submit(l.now, "w", Request{ID: uint64(i), Key: "policy", Op: opAdd, Arg: arg, TimeoutMillis: 3000})
			for range 60 {
				l.step()
			}
		}
		for range 2000 {
			l.step()
		}
		checkOneHistory(t, seed, l.told)
		differences, wholes = differences+l.differences, wholes+l.wholes
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
