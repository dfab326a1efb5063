package consensus

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"dunlinwell/internal/base/ids"
)

// delayedMessage is a message in transit. It may be delayed, duplicated, reordered or lost, and
// is delivered to the run of its receiver that is current at that time.
type delayedMessage struct {
	from, to ids.Address
	msg      any
}

// restartNetwork connects three stores, restarts them, and checks the results of their clients.
type restartNetwork struct {
	*rand.Rand
	stores           map[ids.Address]*testStore
	inTransit        []delayedMessage
	blockedLinks     map[[2]ids.Address]bool // links whose messages are held back
	now              ids.Time
	runCount         uint64
	callCount        uint64
	pendingCalls     map[uint64]clientCall
	acknowledgedTags []string
	longestResult    string
	violations       []string
	// sharedRoundIDs injects a fault: the round IDs of every run start at 1.
	sharedRoundIDs bool
}

// clientCall is a call without a response.
type clientCall struct {
	// tag is the text to append, empty for a read.
	tag string
	// acknowledgedBefore is the number of tags acknowledged before the call. Its result must
	// contain them.
	acknowledgedBefore int
}

func newRestartNetwork(seed uint64, sharedRoundIDs bool) *restartNetwork {
	n := &restartNetwork{
		Rand: rand.New(rand.NewPCG(seed, 7)), stores: newTestStores(), pendingCalls: map[uint64]clientCall{},
		blockedLinks: map[[2]ids.Address]bool{}, now: 1, sharedRoundIDs: sharedRoundIDs,
	}
	for _, at := range addresses {
		n.stores[at].SetOps(map[Op]ChangeFunc{opAppend: appendArgOnce})
		n.collect(at)
	}
	return n
}

// collect executes the commands of a store, checks its responses to clients, and puts its
// other messages in transit.
func (n *restartNetwork) collect(at ids.Address) {
	for _, c := range n.stores[at].syncAll() {
		if response, ok := c.Message.(Response); ok {
			n.checkResponse(response)
		} else {
			n.inTransit = append(n.inTransit, delayedMessage{at, c.To, c.Message})
		}
	}
}

// checkResponse checks a result against all earlier results.
func (n *restartNetwork) checkResponse(m Response) {
	call, isPending := n.pendingCalls[m.ID]
	if m.Outcome != Succeeded || !isPending {
		return
	}
	delete(n.pendingCalls, m.ID)
	result := string(m.Result)
	shorter, longer := result, n.longestResult
	if len(shorter) > len(longer) {
		shorter, longer = longer, shorter
	}
	if !strings.HasPrefix(longer, shorter) {
		n.violations = append(n.violations, fmt.Sprintf("results %q and %q conflict", shorter, longer))
	}
	for _, tag := range append(n.acknowledgedTags[:call.acknowledgedBefore:call.acknowledgedBefore], call.tag) {
		if !strings.Contains(result, tag) {
			n.violations = append(n.violations, fmt.Sprintf("acknowledged tag %q is missing from %q", tag, result))
		}
	}
	n.longestResult = longer
	if call.tag != "" {
		n.acknowledgedTags = append(n.acknowledgedTags, call.tag)
	}
}

func (n *restartNetwork) call(at ids.Address) {
	n.callCount++
	r := Request{ID: n.callCount, Key: "x", Op: Read, TimeoutMillis: 3000}
	c := clientCall{acknowledgedBefore: len(n.acknowledgedTags)}
	if n.IntN(3) > 0 {
		c.tag = fmt.Sprintf("%d;", n.callCount+1000)
		r.Op, r.Arg = opAppend, []byte(c.tag)
	}
	n.pendingCalls[r.ID] = c
	n.stores[at].Submit(n.now, "caller", r)
}

func (n *restartNetwork) deliver() {
	var deliverable []int
	for i, m := range n.inTransit {
		if !n.blockedLinks[[2]ids.Address{m.from, m.to}] {
			deliverable = append(deliverable, i)
		}
	}
	if len(deliverable) == 0 {
		return
	}
	i := deliverable[n.IntN(len(deliverable))]
	m := n.inTransit[i]
	if n.IntN(6) > 0 {
		n.inTransit = append(n.inTransit[:i], n.inTransit[i+1:]...)
	}
	if n.IntN(12) > 0 {
		n.stores[m.to].deliver(n.now, m.from, m.msg)
		n.collect(m.to)
	}
}

func (n *restartNetwork) restart(at ids.Address) {
	n.runCount++
	id := n.stores[at].StoreID()
	restartStore(n.stores, at, id<<24|n.runCount, appendArgOnce)
	if n.sharedRoundIDs {
		n.stores[at].lastRoundID = 0
	}
}

// run executes random steps and returns the violations.
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
			n.blockedLinks[[2]ids.Address{at, to}] = to != at && n.IntN(3) == 0
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

// Across restarts and under message loss, reordering, duplication and delay, the results of a
// register form one history that contains every acknowledged change.
func TestProposer_OneHistoryOverRestarts(t *testing.T) {
	const seeds = 80
	acknowledged := 0
	for seed := range uint64(seeds) {
		n := newRestartNetwork(seed, false)
		if violations := n.run(stepsPerSeed); len(violations) > 0 {
			t.Fatalf("seed %d: %v", seed, violations)
		}
		acknowledged += len(n.acknowledgedTags)
	}
	if acknowledged < 10*seeds {
		t.Fatalf("only %d changes were acknowledged", acknowledged)
	}
}

// The checks detect a fault in which the runs of a store share round IDs.
func TestProposer_SharedRoundIDsAreDetected(t *testing.T) {
	for seed := range uint64(1000) {
		if violations := newRestartNetwork(seed, true).run(stepsPerSeed); len(violations) > 0 {
			t.Logf("seed %d: %v", seed, violations[0])
			return
		}
	}
	t.Fatal("injected fault not detected")
}
