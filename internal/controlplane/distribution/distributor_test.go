package distribution

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/targets"
)

// A proxy must be sent what it lacks until it acknowledges it, then only changes and refreshes, and
// everything again after a restart.
func TestDistributor_PushesUntilAcknowledged(t *testing.T) {
	is := is.New(t)
	d := New(7, &event.Outbox{})
	proxies := oneProxy()
	announced := []targets.Target{{Instance: "a", Sequence: 1}}
	content := Content{Revision: 3, Configuration: fixedConfiguration("p3"), Version: 1, Targets: listOf(&announced)}
	push := func(ms int) []Push { return distribute(d, at(ms), proxies, content) }

	first := push(0)
	is.Equal(len(first), 1)
	is.Equal(string(first[0].Configuration), "p3")
	is.Equal(len(first[0].Targets), 1)
	is.Equal(len(push(50)), 0) // nothing new, and the retry timeout hasn't passed
	again := push(200)         // everything is retransmitted with a new number
	is.Equal(len(again), 1)
	is.True(again[0].Number > first[0].Number && len(again[0].Targets) == 1)
	is.Equal(d.Lagging(proxies, 3), []ids.DaemonID{"c1"})
	d.HandleAck(at(210), Ack{Proxy: "c1", RunID: 1, Number: again[0].Number, Revision: 3, Now: 55})
	is.Equal(len(d.Lagging(proxies, 3)), 0)
	is.True(d.AcknowledgedWithin(at(220), proxies[0], time.Second))

	// Once the proxy has everything, it is only sent what changed, with its time echoed.
	announced = append(announced, targets.Target{Instance: "b", Sequence: 1})
	content.Version++
	next := push(230)
	is.Equal(len(next), 1)
	is.Equal(len(next[0].Targets), 1)
	is.Equal(len(next[0].Configuration), 0)
	is.Equal(next[0].EchoedTime, ids.Time(55))

	// A refresh is sent after the interval although nothing changed.
	d.HandleAck(at(240), Ack{Proxy: "c1", RunID: 1, Number: next[0].Number, Revision: 3, Now: 60})
	is.Equal(len(push(300)), 0)
	is.Equal(len(push(540)), 1)

	// The proxy's next run has nothing, and acknowledgements from its previous run are ignored.
	proxies[0].RunID = 2
	d.HandleAck(at(550), Ack{Proxy: "c1", RunID: 1, Number: 99, Revision: 9})
	everything := push(560)
	is.Equal(len(everything[0].Targets), 2)
	is.Equal(string(everything[0].Configuration), "p3")
	is.Equal(everything[0].EchoedTime, ids.Time(0))
	is.Equal(everything[0].ProxyRunID, ids.RunID(2))
}
