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

func at(ms int) ticket.Tick { return ticket.Tick(time.Duration(ms)*time.Millisecond) + 1 }

func TestPushesAreCountedOff(t *testing.T) {
	is := is.New(t)
	var out works.Out
	r := New(7, &out)
	c := []rollcall.Member{{ID: "c1", Address: "c1", Start: 1}}
	targets := []yard.Target{{Instance: "a", Sequence: 1}}
	load := Consignment{Revision: 3, Policy: func(ticket.Revision) []byte { return []byte("p3") }, Version: 1, Targets: func() []yard.Target { return targets }}
	push := func(ms int) []Push {
		r.Go(at(ms), c, load)
		var list []Push
		for _, x := range out.Take() {
			list = append(list, x.(works.Send).Msg.(Push))
		}
		return list
	}
	first := push(0)
	is.Equal(len(first), 1)
	is.Equal(string(first[0].Policy), "p3")
	is.Equal(len(first[0].Targets), 1)
	is.Equal(len(push(50)), 0) // nothing new, and no answer overdue
	again := push(200)         // lost: all of it once more, under a new number
	is.Equal(len(again), 1)
	is.True(again[0].Number > first[0].Number && len(again[0].Targets) == 1)
	is.Equal(r.Lag(c, 3), []ticket.Daemon{"c1"})
	r.Acked(at(210), Ack{Counter: "c1", Start: 1, Number: again[0].Number, Revision: 3, Now: 55})
	is.Equal(len(r.Lag(c, 3)), 0)
	is.True(r.Fresh(at(220), c[0], time.Second))
	// Once it has all, only what changed goes, with the counter's time echoed.
	targets = append(targets, yard.Target{Instance: "b", Sequence: 1})
	load.Version++
	next := push(230)
	is.Equal(len(next), 1)
	is.Equal(len(next[0].Targets), 1)
	is.Equal(len(next[0].Policy), 0)
	is.Equal(next[0].Echo, ticket.Tick(55))
	// Word now and then, though nothing changes.
	r.Acked(at(240), Ack{Counter: "c1", Start: 1, Number: next[0].Number, Revision: 3, Now: 60})
	is.Equal(len(push(300)), 0)
	is.Equal(len(push(540)), 1)
	// The counter's next run has nothing: a snapshot, and no old acknowledgement.
	c[0].Start = 2
	r.Acked(at(550), Ack{Counter: "c1", Start: 1, Number: 99, Revision: 9})
	snap := push(560)
	is.Equal(len(snap[0].Targets), 2)
	is.Equal(string(snap[0].Policy), "p3")
	is.Equal(snap[0].Echo, ticket.Tick(0))
	is.Equal(snap[0].For, ticket.Start(2))
}
