package proxy

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/distribution"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/targets"
	"dunlinwell/internal/state/consensus"
	"dunlinwell/internal/transport/wire"
)

const (
	unknownPeer = ids.Address("10.9.9.9:1")
	ownRunID    = ids.RunID(7)
)

// newControl returns a Control that has ticked once and received no messages.
func newControl() *Control {
	self := membership.Member{ID: "c1", Role: membership.Proxy, Address: "10.0.0.1:1", RunID: ownRunID, Zone: "a"}
	c := New(membership.Options{Self: self, Seeds: []ids.Address{"10.0.0.2:1"}}, ControlOptions{})
	c.Step(1, event.Tick{})
	return c
}

// Guards against extending the lease by an echoed time that this run of the proxy can't have
// sent.
func TestLease_IgnoresEchoFromFutureOrEarlierRun(t *testing.T) {
	is := is.New(t)
	now := ids.Time(10 * time.Second)
	for _, msg := range []any{
		distribution.Push{Number: 1, RunID: 1, EchoedTime: now.Add(time.Hour), ProxyRunID: ownRunID},
		LeaseGossip{ProxyRunID: ownRunID, EchoedTime: now.Add(time.Hour)},
	} {
		c := newControl()
		c.Step(now, event.Received{From: unknownPeer, Message: msg})
		is.True(c.confirmedAt() <= now)
		is.Equal(c.targetsConfirmedAt, ids.Time(0))
		is.Equal(c.configurationConfirmedAt, ids.Time(0))
	}
	// A time echoed to an earlier run is ignored too.
	c := newControl()
	c.Step(now, event.Received{From: unknownPeer, Message: distribution.Push{Number: 1, RunID: 1, EchoedTime: now, ProxyRunID: ownRunID - 1}})
	is.Equal(c.targetsConfirmedAt, ids.Time(0))
}

// FuzzMessages checks that no message makes a proxy panic or confirms configuration or targets
// as of a time in the future.
func FuzzMessages(f *testing.F) {
	for _, msg := range []any{
		distribution.Push{
			Number: 1, RunID: 1, Revision: 1, Configuration: []byte(`{"revision":1}`), EchoedTime: 1, ProxyRunID: ownRunID,
			Targets: []targets.Target{{Instance: "i", Service: "s", Address: "10.0.0.9:80", Zone: "a", Incarnation: 1, Sequence: 1, Warmth: 1}},
		},
		LeaseRequest{Proxy: "c2", RunID: 1},
		LeaseGossip{ProxyRunID: ownRunID, EchoedTime: 1, Revision: 1, Configuration: []byte(`{"revision":1}`)},
		consensus.Response{ID: uint64(ownRunID)<<24 + 1, Attempt: 1, Outcome: consensus.Succeeded},
		consensus.ConfigurationQuery{},
		membership.Heartbeat{Self: membership.Member{ID: "x", Role: membership.Registry, Address: unknownPeer, RunID: 1}},
		membership.Snapshot{Members: []membership.Member{{ID: "c1", Dead: true, Incarnation: 9}}},
		membership.Delta{Parts: []uint16{70}},
		membership.Digest{Parts: make([]uint64, 64)},
		membership.Suspect{Watcher: "x", Member: "c1"},
	} {
		raw, err := wire.Encode(msg)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(uint16(wire.KindOfMessage(msg)), raw[26:])
	}
	f.Fuzz(func(t *testing.T, kind uint16, body []byte) {
		msg, err := wire.Decode(wire.Kind(kind), body)
		if msg == nil || err != nil {
			return
		}
		c, now := newControl(), ids.Time(time.Second)
		c.Step(now, event.Received{From: unknownPeer, Message: msg})
		for range 6 {
			now = now.Add(300 * time.Millisecond)
			c.Step(now, event.Tick{})
			if c.configurationConfirmedAt > now || c.targetsConfirmedAt > now {
				t.Fatalf("%#v confirmed configuration or targets as of a future time", msg)
			}
		}
	})
}
