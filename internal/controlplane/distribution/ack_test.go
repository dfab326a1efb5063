package distribution

import (
	"testing"

	"github.com/matryer/is"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/targets"
)

// A proxy's acknowledgement waits in its queue while the registry restarts. It
// must not count for the new run's push: the target that leaves would be told
// that every proxy goes by it, and stop, while one still sends to it.
func TestDistributor_IgnoresAckOfEarlierRun(t *testing.T) {
	is := is.New(t)
	proxies := []membership.Member{{ID: "c1", Address: "c1", RunID: 1}}
	leaving := targets.Target{Instance: "a", Sequence: 9, Leaving: true}
	content := Content{Version: 1, Targets: func() []targets.Target { return []targets.Target{leaving} }}
	push := func(start ids.RunID) (*Distributor, Push) {
		var out event.Outbox
		r := New(start, &out)
		r.Distribute(at(0), proxies, content)
		return r, out.Drain()[0].(event.Send).Msg.(Push)
	}
	first, earlier := push(7)
	leaving.Sequence = 10
	second, own := push(8)
	ack := func(p Push) Ack { return Ack{Proxy: "c1", RunID: 1, Number: p.Number, Now: 1} }
	second.HandleAck(at(10), ack(earlier))
	is.True(!second.AllAcknowledged(proxies, leaving))
	second.HandleAck(at(20), ack(own))
	is.True(second.AllAcknowledged(proxies, leaving))
	first.HandleAck(at(30), ack(own))
	is.True(!first.AllAcknowledged(proxies, leaving))
}
