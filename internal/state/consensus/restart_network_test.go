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

// delayedMessage is a message on its way. Letters are delayed, doubled, swapped and
// lost, and reach whichever run of their receiver there is by then.
type delayedMessage struct {
	from, to ids.Address
	msg      any
}

// restartNetwork plays three stores that restart, and judges what callers are told.
type restartNetwork struct {
	*rand.Rand
	stores        map[ids.Address]*testStore
	inTransit     []delayedMessage
	cutLinks      map[[2]ids.Address]bool // ways on which letters wait
	now           ids.Time
	runCount      uint64
	callCount     uint64
	openCalls     map[uint64]appendCall
	agreedTags    []string
	longestResult string
	violations    []string
	// sharedRoundIDs plants the mistake that each run counts its rounds from 1.
	sharedRoundIDs bool
}

// appendCall is a call that appends a tag: what was agreed on before it began must
// stand in its result.
type appendCall struct {
	tag          string
	agreedBefore int
}

var addresses = []ids.Address{"a", "b", "c"}

// appendTagOnce appends a tag unless it is there, as every change must know itself.
func appendTagOnce(_ ids.RegisterKey, old, arg []byte) ([]byte, []byte) {
	if bytes.Contains(old, arg) {
		return old, old
	}
	return appendArg("", old, arg)
}

func newRestartNetwork(t *testing.T, seed uint64, sameNumbers bool) *restartNetwork {
	n := &restartNetwork{Rand: rand.New(rand.NewPCG(seed, 7)), stores: newTestStores(t), openCalls: map[uint64]appendCall{}, cutLinks: map[[2]ids.Address]bool{}, now: 1, sharedRoundIDs: sameNumbers}
	for _, at := range addresses {
		n.stores[at].SetOps(map[Op]ChangeFunc{opAdd: appendTagOnce})
		n.collect(at)
	}
	return n
}

// collect syncs what a store wants kept, and takes what it sends.
func (n *restartNetwork) collect(at ids.Address) {
	r := n.stores[at]
	for list := r.Drain(); len(list) > 0; list = append(list, r.Drain()...) {
		c := list[0]
		list = list[1:]
		switch c := c.(type) {
		case event.Sync:
			for _, rec := range c.Records {
				r.disk[rec.Key] = rec.Value
			}
			r.Acceptor.Synced(c.Batch)
			list = append(list, c.After...)
		case event.Send:
			if m, ok := c.Msg.(Response); ok {
				n.checkResponse(m)
			} else {
				n.inTransit = append(n.inTransit, delayedMessage{at, c.To, c.Msg})
			}
		}
	}
}

// checkResponse checks a caller's result against all that callers were told before.
func (n *restartNetwork) checkResponse(m Response) {
	call, open := n.openCalls[m.ID]
	if m.Outcome != Succeeded || !open {
		return
	}
	delete(n.openCalls, m.ID)
	result := string(m.Result)
	shorter, longer := result, n.longestResult
	if len(shorter) > len(longer) {
		shorter, longer = longer, shorter
	}
	if !strings.HasPrefix(longer, shorter) {
		n.violations = append(n.violations, fmt.Sprintf("%q and %q were both agreed on", shorter, longer))
	}
	for _, tag := range append(n.agreedTags[:call.agreedBefore:call.agreedBefore], call.tag) {
		if !strings.Contains(result, tag) {
			n.violations = append(n.violations, fmt.Sprintf("%q is lost in %q", tag, result))
		}
	}
	n.longestResult = longer
	if call.tag != "" {
		n.agreedTags = append(n.agreedTags, call.tag)
	}
}

func (n *restartNetwork) call(at ids.Address) {
	n.callCount++
	r := Request{ID: n.callCount, Key: "x", Op: Read, TimeoutMillis: 3000}
	c := appendCall{agreedBefore: len(n.agreedTags)}
	if n.IntN(3) > 0 {
		c.tag = fmt.Sprintf("%d;", n.callCount+1000)
		r.Op, r.Arg = opAdd, []byte(c.tag)
	}
	n.openCalls[r.ID] = c
	n.stores[at].Submit(n.now, "caller", r)
}

func (n *restartNetwork) deliver() {
	var open []int
	for i, l := range n.inTransit {
		if !n.cutLinks[[2]ids.Address{l.from, l.to}] {
			open = append(open, i)
		}
	}
	if len(open) == 0 {
		return
	}
	i := open[n.IntN(len(open))]
	l := n.inTransit[i]
	if n.IntN(6) > 0 {
		n.inTransit = append(n.inTransit[:i], n.inTransit[i+1:]...)
	}
	if n.IntN(12) > 0 {
		deliver(n.now, n.stores[l.to], l.from, l.msg)
		n.collect(l.to)
	}
}

func (n *restartNetwork) restart(at ids.Address) {
	n.runCount++
	id := n.stores[at].StoreID()
	restartStore(n.stores, at, id<<24|n.runCount)
	n.stores[at].SetOps(map[Op]ChangeFunc{opAdd: appendTagOnce})
	if n.sharedRoundIDs {
		n.stores[at].lastRoundID = 0
	}
}

// run takes random steps and gives what was wrong.
func (n *restartNetwork) run(steps int) []string {
	for range steps {
		at := addresses[n.IntN(len(addresses))]
		switch k := n.IntN(100); {
		case k < 70:
			n.deliver()
		case k < 80:
			n.call(at)
		case k < 82:
			to := addresses[n.IntN(len(addresses))]
			n.cutLinks[[2]ids.Address{at, to}] = to != at && n.IntN(3) == 0
		case k < 98:
			n.now = n.now.Add(time.Duration(n.IntN(60)) * time.Millisecond)
			n.stores[at].Proposer.Tick(n.now)
		default:
			n.restart(at)
		}
		n.collect(at)
	}
	return n.violations
}

const stepsPerSeed = 4000

// Callers of one register never see two histories, nor lose what they were told
// was agreed on, whatever the order, the number and the lateness of the answers,
// over restarts.
func TestProposer_OneHistoryOverRestarts(t *testing.T) {
	const seeds = 80
	agreed := 0
	for seed := range uint64(seeds) {
		n := newRestartNetwork(t, seed, false)
		if wrong := n.run(stepsPerSeed); len(wrong) > 0 {
			t.Fatalf("seed %d: %v", seed, wrong)
		}
		agreed += len(n.agreedTags)
	}
	if agreed < 10*seeds {
		t.Fatalf("only %d changes were agreed on", agreed)
	}
}

// The judge above finds out runs that share their rounds' numbers.
func TestProposer_SharedRoundIDsAreDetected(t *testing.T) {
	for seed := range uint64(1000) {
		if wrong := newRestartNetwork(t, seed, true).run(stepsPerSeed); len(wrong) > 0 {
			t.Logf("seed %d: %v", seed, wrong[0])
			return
		}
	}
	t.Fatal("the planted mistake was not found")
}
