package distribution

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/targets"
)

func at(ms int) ids.Time { return ids.Time(time.Duration(ms)*time.Millisecond) + 1 }

func TestDistributor_PushesUntilAcknowledged(t *testing.T) {
	is := is.New(t)
	var out event.Outbox
	r := New(7, &out)
	c := []membership.Member{{ID: "c1", Address: "c1", RunID: 1}}
	announced := []targets.Target{{Instance: "a", Sequence: 1}}
	load := Content{Revision: 3, Configuration: func(ids.Revision) []byte { return []byte("p3") }, Version: 1, Targets: func() []targets.Target { return announced }}
	push := func(ms int) []Push {
		r.Distribute(at(ms), c, load)
		var list []Push
		for _, x := range out.Drain() {
			list = append(list, x.(event.Send).Msg.(Push))
		}
		return list
	}
	first := push(0)
	is.Equal(len(first), 1)
	is.Equal(string(first[0].Configuration), "p3")
	is.Equal(len(first[0].Targets), 1)
	is.Equal(len(push(50)), 0) // nothing new, and no answer overdue
	again := push(200)         // lost: all of it once more, under a new number
	is.Equal(len(again), 1)
	is.True(again[0].Number > first[0].Number && len(again[0].Targets) == 1)
	is.Equal(r.Lagging(c, 3), []ids.DaemonID{"c1"})
	r.HandleAck(at(210), Ack{Proxy: "c1", RunID: 1, Number: again[0].Number, Revision: 3, Now: 55})
	is.Equal(len(r.Lagging(c, 3)), 0)
	is.True(r.AcknowledgedWithin(at(220), c[0], time.Second))
	// Once it has all, only what changed goes, with the proxy's time echoed.
	announced = append(announced, targets.Target{Instance: "b", Sequence: 1})
	load.Version++
	next := push(230)
	is.Equal(len(next), 1)
	is.Equal(len(next[0].Targets), 1)
	is.Equal(len(next[0].Configuration), 0)
	is.Equal(next[0].EchoedTime, ids.Time(55))
	// Word now and then, though nothing changes.
	r.HandleAck(at(240), Ack{Proxy: "c1", RunID: 1, Number: next[0].Number, Revision: 3, Now: 60})
	is.Equal(len(push(300)), 0)
	is.Equal(len(push(540)), 1)
	// The proxy's next run has nothing: a snapshot, and no old acknowledgement.
	c[0].RunID = 2
	r.HandleAck(at(550), Ack{Proxy: "c1", RunID: 1, Number: 99, Revision: 9})
	snap := push(560)
	is.Equal(len(snap[0].Targets), 2)
	is.Equal(string(snap[0].Configuration), "p3")
	is.Equal(snap[0].EchoedTime, ids.Time(0))
	is.Equal(snap[0].ProxyRunID, ids.RunID(2))
}
