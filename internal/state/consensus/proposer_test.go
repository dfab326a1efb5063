package consensus

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
)

// Recorded from seed 2 of the simulator: a proposer that is cut off sends its next value
// without a Prepare, to its own acceptor alone, while the others go on. Its value must not
// win once the partition ends.
func TestProposer_ValueOfPartitionedProposerDoesNotWin(t *testing.T) {
	is := is.New(t)
	stores := newTestStores()
	submit := func(at, client ids.Address, now time.Duration, arg string) {
		stores[at].Submit(ids.Time(now), client, Request{ID: 1, Key: "x", Op: opAppend, Arg: []byte(arg), TimeoutMillis: 60000})
	}
	submit("a", "w1", 1, "1")
	is.Equal(mustSucceed(t, deliverAll(1, stores, allLinks), "w1"), "1")
	// Other work has taken a's ballots far beyond what the others use.
	for range 10 {
		stores["a"].Submit(1, "w0", Request{ID: 1, Key: "y", Op: opAppend, TimeoutMillis: 60000})
		deliverAll(1, stores, allLinks)
	}
	// In the partition, a's next value reaches a alone.
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
	// The partition ends, for a and b at first: a's change comes after the others', or
	// not at all.
	withoutC := func(from, to ids.Address) bool { return from != "c" && to != "c" }
	for step := range 20 {
		now := ids.Time(20 * time.Second).Add(time.Duration(step) * 150 * time.Millisecond)
		stores["a"].Proposer.Tick(now)
		if responses := deliverAll(now, stores, withoutC); len(responses) > 0 {
			is.Equal(mustSucceed(t, responses, "w2"), "13452")
			return
		}
	}
	t.Fatal("the change of a was never answered")
}
