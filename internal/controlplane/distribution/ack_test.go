package distribution

import (
	"testing"

	"github.com/matryer/is"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/targets"
)

// An acknowledgement of a push of an earlier run of the registry must not count for this run's push.
// Otherwise a draining target could exit while a proxy still sends requests to it.
func TestDistributor_IgnoresAckOfEarlierRun(t *testing.T) {
	is := is.New(t)
	proxies := oneProxy()
	draining := targets.Target{Instance: "a", Sequence: 9, Draining: true}
	content := Content{Version: 1, Targets: func() []targets.Target { return []targets.Target{draining} }}
	push := func(runID ids.RunID) (*Distributor, Push) {
		d := New(runID, &event.Outbox{})
		return d, distribute(d, at(0), proxies, content)[0]
	}
	ack := func(p Push) Ack { return Ack{Proxy: "c1", RunID: 1, Number: p.Number, Now: 1} }

	first, firstPush := push(7)
	draining.Sequence = 10
	second, secondPush := push(8)
	second.HandleAck(at(10), ack(firstPush))
	is.True(!second.AllAcknowledged(proxies, draining))
	second.HandleAck(at(20), ack(secondPush))
	is.True(second.AllAcknowledged(proxies, draining))
	first.HandleAck(at(30), ack(secondPush))
	is.True(!first.AllAcknowledged(proxies, draining))
}
