package distribution

import (
	"testing"

	"github.com/matryer/is"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/targets"
)

// A proxy's acknowledgement may wait in its queue while the registry restarts. It must
// not count for the new run's push: a draining target would be told that every proxy
// has stopped using it, and exit, while one still sends to it.
func TestDistributor_IgnoresAckOfEarlierRun(t *testing.T) {
	is := is.New(t)
	proxies := oneProxy()
	leaving := targets.Target{Instance: "a", Sequence: 9, Draining: true}
	content := Content{Version: 1, Targets: func() []targets.Target { return []targets.Target{leaving} }}
	push := func(runID ids.RunID) (*Distributor, Push) {
		d := New(runID, &event.Outbox{})
		return d, distribute(d, at(0), proxies, content)[0]
	}
	ack := func(p Push) Ack { return Ack{Proxy: "c1", RunID: 1, Number: p.Number, Now: 1} }

	first, firstPush := push(7)
	leaving.Sequence = 10
	second, secondPush := push(8)
	second.HandleAck(at(10), ack(firstPush))
	is.True(!second.AllAcknowledged(proxies, leaving))
	second.HandleAck(at(20), ack(secondPush))
	is.True(second.AllAcknowledged(proxies, leaving))
	first.HandleAck(at(30), ack(secondPush))
	is.True(!first.AllAcknowledged(proxies, leaving))
}
