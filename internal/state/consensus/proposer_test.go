package consensus

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
)

// During a partition, a proposer sends its next value without a Prepare, and only its own
// acceptor accepts it. After the partition, the value must not replace the values that the
// others chose meanwhile.
func TestProposer_ValueOfPartitionedProposerDoesNotWin(t *testing.T) {
	is := is.New(t)
	stores := newTestStores()
	submit := func(at, client ids.Address, now time.Duration, arg string) {
		stores[at].Submit(ids.Time(now), client, Request{ID: 1, Key: "x", Op: opAppend, Arg: []byte(arg), TimeoutMillis: 60000})
	}
	submit("a", "w1", 1, "1")
	is.Equal(mustSucceed(t, deliverAll(1, stores, allLinks), "w1"), "1")
	// Rounds of another register raise a's ballot counter far above those of b and c.
	for range 10 {
		stores["a"].Submit(1, "w0", Request{ID: 1, Key: "y", Op: opAppend, TimeoutMillis: 60000})
		deliverAll(1, stores, allLinks)
	}
	// During the partition, a's next value reaches only a.
	withoutA := func(from, to ids.Address) bool { return from != "a" && to != "a" }
	submit("a", "w2", 2, "2")
	is.Equal(len(deliverAll(2, stores, withoutA)), 0)
	for i, arg := range []string{"3", "4", "5"} {
		began := time.Duration(10+i) * time.Second
		submit("b", ids.Address("w"+arg), began, arg)
		for step := range 10 {
			now := ids.Time(began).Add(time.Duration(step) * 60 * time.Millisecond)
			stores["b"].Proposer.Tick(now)
			if responses := deliverAll(now, stores, withoutA); len(responses) > 0 {
				is.Equal(mustSucceed(t, responses, ids.Address("w"+arg)), "1345"[:i+2])
				break
			}
		}
	}
	// The partition ends between a and b first. If a's change takes effect, it must be applied
	// after the others.
	withoutC := func(from, to ids.Address) bool { return from != "c" && to != "c" }
	for step := range 20 {
		now := ids.Time(20 * time.Second).Add(time.Duration(step) * 150 * time.Millisecond)
		stores["a"].Proposer.Tick(now)
		if responses := deliverAll(now, stores, withoutC); len(responses) > 0 {
			is.Equal(mustSucceed(t, responses, "w2"), "13452")
			return
		}
	}
	t.Fatal("no response to a's change after the partition")
}
