package consensus

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
)

// letter is a message on its way. Letters are delayed, doubled, swapped and
// lost, and reach whichever run of their receiver there is by then.
type letter struct {
	from, to ids.Address
	msg      any
}

// network plays three stores that restart, and judges what callers are told.
type network struct {
	*rand.Rand
	all      map[ids.Address]*room
	letters  []letter
	cut      map[[2]ids.Address]bool // ways on which letters wait
	now      ids.Time
	runs     uint64
	calls    uint64
	asked    map[uint64]appended
	done     []string
	longest  string
	mistakes []string
	// sameNumbers plants the mistake that each run counts its rounds from 1.
	sameNumbers bool
}

// appended is a call that appends a tag: what was agreed on before it began must
// stand in its result.
type appended struct {
	tag    string
	before int
}

var addresses = []ids.Address{"a", "b", "c"}

// addTagOnce appends a tag unless it is there, as every change must know itself.
func addTagOnce(_ ids.RegisterKey, old, arg []byte) ([]byte, []byte) {
	if bytes.Contains(old, arg) {
		return old, old
	}
	return add("", old, arg)
}

func newNetwork(t *testing.T, seed uint64, sameNumbers bool) *network {
	n := &network{Rand: rand.New(rand.NewPCG(seed, 7)), all: rooms(t), asked: map[uint64]appended{}, cut: map[[2]ids.Address]bool{}, now: 1, sameNumbers: sameNumbers}
	for _, at := range addresses {
		n.all[at].SetOps(map[Op]ChangeFunc{opAdd: addTagOnce})
		n.collect(at)
	}
	return n
}

// collect syncs what a store wants kept, and takes what it sends.
func (n *network) collect(at ids.Address) {
	r := n.all[at]
	for list := r.Drain(); len(list) > 0; list = append(list, r.Drain()...) {
		c := list[0]
		list = list[1:]
		switch c := c.(type) {
		case event.Sync:
			for _, rec := range c.Records {
				r.mem[rec.Key] = rec.Value
			}
			r.Acceptor.Synced(c.Batch)
			list = append(list, c.After...)
		case event.Send:
			if m, ok := c.Msg.(Response); ok {
				n.judge(m)
			} else {
				n.letters = append(n.letters, letter{at, c.To, c.Msg})
			}
		}
	}
}

// judge checks a caller's result against all that callers were told before.
func (n *network) judge(m Response) {
	call, open := n.asked[m.ID]
	if m.Outcome != Succeeded || !open {
		return
	}
	delete(n.asked, m.ID)
	result := string(m.Result)
	shorter, longer := result, n.longest
	if len(shorter) > len(longer) {
		shorter, longer = longer, shorter
	}
	if !strings.HasPrefix(longer, shorter) {
		n.mistakes = append(n.mistakes, fmt.Sprintf("%q and %q were both agreed on", shorter, longer))
	}
	for _, tag := range append(n.done[:call.before:call.before], call.tag) {
		if !strings.Contains(result, tag) {
			n.mistakes = append(n.mistakes, fmt.Sprintf("%q is lost in %q", tag, result))
		}
	}
	n.longest = longer
	if call.tag != "" {
		n.done = append(n.done, call.tag)
	}
}

func (n *network) call(at ids.Address) {
	n.calls++
	r := Request{ID: n.calls, Key: "x", Op: Read, TimeoutMillis: 3000}
	c := appended{before: len(n.done)}
	if n.IntN(3) > 0 {
		c.tag = fmt.Sprintf("%d;", n.calls+1000)
		r.Op, r.Arg = opAdd, []byte(c.tag)
	}
	n.asked[r.ID] = c
	n.all[at].Submit(n.now, "caller", r)
}

func (n *network) deliver() {
	var open []int
	for i, l := range n.letters {
		if !n.cut[[2]ids.Address{l.from, l.to}] {
			open = append(open, i)
		}
	}
	if len(open) == 0 {
		return
	}
	i := open[n.IntN(len(open))]
	l := n.letters[i]
	if n.IntN(6) > 0 {
		n.letters = append(n.letters[:i], n.letters[i+1:]...)
	}
	if n.IntN(12) > 0 {
		give(n.now, n.all[l.to], l.from, l.msg)
		n.collect(l.to)
	}
}

func (n *network) restart(at ids.Address) {
	n.runs++
	id := n.all[at].StoreID()
	restart(n.all, at, id<<24|n.runs)
	n.all[at].SetOps(map[Op]ChangeFunc{opAdd: addTagOnce})
	if n.sameNumbers {
		n.all[at].lastRoundID = 0
	}
}

// play takes random steps and gives what was wrong.
func (n *network) play(steps int) []string {
	for range steps {
		at := addresses[n.IntN(len(addresses))]
		switch k := n.IntN(100); {
		case k < 70:
			n.deliver()
		case k < 80:
			n.call(at)
		case k < 82:
			to := addresses[n.IntN(len(addresses))]
			n.cut[[2]ids.Address{at, to}] = to != at && n.IntN(3) == 0
		case k < 98:
			n.now = n.now.Add(time.Duration(n.IntN(60)) * time.Millisecond)
			n.all[at].Proposer.Tick(n.now)
		default:
			n.restart(at)
		}
		n.collect(at)
	}
	return n.mistakes
}

const playedSteps = 4000

// Callers of one register never see two histories, nor lose what they were told
// was agreed on, whatever the order, the number and the lateness of the answers,
// over restarts.
func TestAnswersInAnyOrderOverRestarts(t *testing.T) {
	const seeds = 80
	agreed := 0
	for seed := range uint64(seeds) {
		n := newNetwork(t, seed, false)
		if wrong := n.play(playedSteps); len(wrong) > 0 {
			t.Fatalf("seed %d: %v", seed, wrong)
		}
		agreed += len(n.done)
	}
	if agreed < 10*seeds {
		t.Fatalf("only %d changes were agreed on", agreed)
	}
}

// The judge above finds out runs that share their rounds' numbers.
func TestRunsThatShareNumbersAreFoundOut(t *testing.T) {
	for seed := range uint64(1000) {
		if wrong := newNetwork(t, seed, true).play(playedSteps); len(wrong) > 0 {
			t.Logf("seed %d: %v", seed, wrong[0])
			return
		}
	}
	t.Fatal("the planted mistake was not found")
}
