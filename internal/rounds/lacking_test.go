package rounds

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/rollcall"
	"dunlinwell/internal/ticket"
	"dunlinwell/internal/works"
	"dunlinwell/internal/yard"
)

// What is in flight isn't sent again with every push: on a thin link, where an
// acknowledgement takes half a second, that was a storm.
func TestWhatIsInFlightWaits(t *testing.T) {
	is := is.New(t)
	var out works.Out
	r := New(7, &out)
	r.ResendAfter = 400 * time.Millisecond
	c := []rollcall.Member{{ID: "c1", Address: "c1", Start: 1}}
	targets := []yard.Target{{Instance: "a", Sequence: 1}}
	load := Consignment{Revision: 1, Policy: func(ticket.Revision) []byte { return []byte("p") }, Version: 1, Targets: func() []yard.Target { return targets }}
	sent := func(ms int) (names []ticket.Instance, policies int) {
		r.Go(at(ms), c, load)
		for _, x := range out.Take() {
			p := x.(works.Send).Msg.(Push)
			policies += len(p.Policy)
			for _, t := range p.Targets {
				names = append(names, t.Instance)
			}
		}
		return names, policies
	}
	names, policies := sent(0)
	is.Equal(names, []ticket.Instance{"a"})
	is.Equal(policies, 1)
	// News each moment: each of it goes once.
	for i, n := range []ticket.Instance{"b", "c", "d"} {
		targets = append(targets, yard.Target{Instance: n, Sequence: 1})
		load.Version++
		names, policies = sent(50 * (i + 1))
		is.Equal(names, []ticket.Instance{n})
		is.Equal(policies, 0)
	}
	// Nothing came back: all of it again, and again, ever more slowly.
	names, policies = sent(1000)
	is.Equal(len(names), 4)
	is.Equal(policies, 1)
	names, _ = sent(1100)
	is.Equal(len(names), 0)
	names, _ = sent(3000)
	is.Equal(len(names), 4)
}

// Where another foreman delivers first, what isn't urgent waits for it, and an
// acknowledgement that shows the same targets settles it.
func TestTheSpareHoldsBack(t *testing.T) {
	is := is.New(t)
	var out works.Out
	r := New(7, &out)
	r.Spare = func(rollcall.Member) bool { return true }
	c := []rollcall.Member{{ID: "c1", Address: "c1", Start: 1}}
	targets := []yard.Target{{Instance: "a", Sequence: 1}, {Instance: "b", Sequence: 1}}
	load := Consignment{Version: 1, Targets: func() []yard.Target { return targets }}
	sent := func(ms int) (n int) {
		r.Go(at(ms), c, load)
		for _, x := range out.Take() {
			n += len(x.(works.Send).Msg.(Push).Targets)
		}
		return n
	}
	is.Equal(sent(0), 0)
	is.Equal(sent(300), 0)
	is.Equal(sent(800), 2) // nobody showed that it has them
	targets[1].Leaving, targets[1].Sequence = true, 2
	load.Version++
	is.Equal(sent(900), 1) // what leaves can't wait
	targets[0].Sequence = 2
	load.Version++
	is.Equal(sent(950), 0)
	is.True(!r.Knows("c1", 1))
	r.HasAll("c1", 1, targets)
	is.True(r.Knows("c1", 1))
	is.Equal(sent(2500), 0)
}
