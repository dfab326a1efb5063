package consensus

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/testsupport/memorydisk"
)

// lossyNetwork connects three stores. It loses, duplicates and delays their messages, and
// restarts the stores from their disks.
type lossyNetwork struct {
	random    *rand.Rand
	now       ids.Time
	stores    map[ids.Address]*testStore
	inTransit []event.Send
	senders   []ids.Address
	responses []Response
	runCount  uint64
	// isolated is a store that receives no messages for isolatedSteps steps, empty for none.
	isolated      ids.Address
	isolatedSteps int
	// deltas counts the votes for values sent as deltas, fullValueRequests the responses that
	// requested the full value.
	deltas, fullValueRequests int
}

func newLossyNetwork(seed uint64) *lossyNetwork {
	l := &lossyNetwork{random: rand.New(rand.NewPCG(seed, 7)), now: 1, stores: map[ids.Address]*testStore{}}
	for i, at := range addresses {
		l.start(at, uint64(i+1), memorydisk.Disk{})
		l.stores[at].MarkComplete()
		l.stores[at].AdoptVoterSet(threeVoters)
	}
	return l
}

// start starts a new run of a store on a disk.
func (l *lossyNetwork) start(at ids.Address, store uint64, disk memorydisk.Disk) {
	l.runCount++
	l.stores[at] = newTestStore(store, disk, store<<24|l.runCount, appendArgOnce, l.random)
}

// collect executes the commands of the stores and puts their messages in transit.
func (l *lossyNetwork) collect() {
	for _, at := range addresses {
		for _, c := range l.stores[at].syncAll() {
			if r, ok := c.Message.(Response); ok {
				l.responses = append(l.responses, r)
				continue
			}
			for n := l.random.IntN(20); n > 0; n -= 17 { // 5% lost, 10% duplicated
				l.inTransit, l.senders = append(l.inTransit, c), append(l.senders, at)
			}
		}
	}
}

func (l *lossyNetwork) step() {
	l.collect()
	if l.isolatedSteps--; l.isolatedSteps <= 0 {
		l.isolated = ""
	}
	switch n := l.random.IntN(400); {
	case n == 0:
		i := l.random.IntN(3)
		l.start(addresses[i], uint64(i+1), l.stores[addresses[i]].disk)
	case n < 3 && l.isolated == "":
		l.isolated, l.isolatedSteps = addresses[l.random.IntN(3)], 300
	case n < 60 || len(l.inTransit) == 0:
		l.now = l.now.Add(20 * time.Millisecond)
		for _, at := range addresses {
			l.stores[at].Proposer.Tick(l.now)
		}
	default:
		// Mostly in order, sometimes a random message.
		i := 0
		if l.random.IntN(6) == 0 {
			i = l.random.IntN(len(l.inTransit))
		}
		c, from := l.inTransit[i], l.senders[i]
		l.inTransit, l.senders = append(l.inTransit[:i], l.inTransit[i+1:]...), append(l.senders[:i], l.senders[i+1:]...)
		if c.To != l.isolated {
			l.deliver(from, c)
		}
	}
}

// deliver delivers a message and updates the counters.
func (l *lossyNetwork) deliver(from ids.Address, c event.Send) {
	to := l.stores[c.To]
	if vote, ok := c.Message.(Accepted); ok && vote.NeedsFullValue {
		l.fullValueRequests++
	}
	m, ok := c.Message.(AcceptDelta)
	if !ok {
		to.deliver(l.now, from, c.Message)
		return
	}
	before, _ := to.AcceptedValue(m.Key)
	to.deliver(l.now, from, c.Message)
	if after, _ := to.AcceptedValue(m.Key); after != before && after == m.Ballot {
		l.deltas++
	}
}

// Under message loss, duplication, delay and restarts, the results of all acknowledged changes
// are prefixes of one history, and stores accept both deltas and full values.
func TestDeltas_OneHistoryUnderLossAndRestarts(t *testing.T) {
	deltas, fullValueRequests := 0, 0
	for seed := range uint64(60) {
		l := newLossyNetwork(seed)
		base := randomText(rand.New(rand.NewPCG(seed, 1)), 6000)
		for i := range 40 {
			arg := []byte(fmt.Sprintf("<%d>", i))
			if i == 0 {
				arg = base
			}
			at := addresses[l.random.IntN(3)]
			l.stores[at].Submit(l.now, "w", Request{ID: uint64(i), Key: "policy", Op: opAppend, Arg: arg, TimeoutMillis: 3000})
			for range 60 {
				l.step()
			}
		}
		for range 2000 {
			l.step()
		}
		checkOneHistory(t, seed, l.responses)
		deltas, fullValueRequests = deltas+l.deltas, fullValueRequests+l.fullValueRequests
	}
	t.Logf("votes for deltas: %d, requests for full values: %d", deltas, fullValueRequests)
	if deltas < 1000 || fullValueRequests < 50 {
		t.Fatal("too few deltas or requests for full values to cover both paths")
	}
}

func checkOneHistory(t *testing.T, seed uint64, responses []Response) {
	t.Helper()
	var longest []byte
	for _, r := range responses {
		if r.Outcome == Succeeded && len(r.Result) > len(longest) {
			longest = r.Result
		}
	}
	for _, r := range responses {
		if r.Outcome == Succeeded && !bytes.HasPrefix(longest, r.Result) {
			t.Fatalf("seed %d: the result of change %d is not a prefix of the longest result", seed, r.ID)
		}
	}
}
