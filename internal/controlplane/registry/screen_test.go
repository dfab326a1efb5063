package registry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/distribution"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/spill"
	"dunlinwell/internal/controlplane/targets"
	"dunlinwell/internal/state/configuration"
	"dunlinwell/internal/state/consensus"
	"dunlinwell/internal/state/election"
	"dunlinwell/internal/transport/wire"
)

const unknownAddress = ids.Address("10.9.9.9:1")

// newRegistryWithPeers is a registry that knows a proxy, another registry and a store.
func newRegistryWithPeers() *testRegistry {
	b := newTestRegistry(false)
	b.partitioned = true
	for _, m := range []membership.Member{
		{ID: "p", Role: membership.Proxy, Address: "10.0.0.3:1", RunID: 1},
		{ID: "g", Role: membership.Registry, Address: "10.0.0.4:1", RunID: 1},
		{ID: "s", Role: membership.Store, Address: "10.0.0.2:1", RunID: 1, Ready: true},
	} {
		b.Step(b.now, event.Received{From: m.Address, Msg: membership.Heartbeat{Self: m}})
	}
	b.Step(b.now, event.Tick{})
	return b
}

func (b *testRegistry) countDiscards(from ids.Address, msg any) (n int) {
	for _, c := range b.Step(b.now, event.Received{From: from, Msg: msg}) {
		if _, ok := c.(event.Discarded); ok {
			n++
		}
	}
	return n
}

// Orders and acknowledgements are taken only from the daemon that may give
// them, at the address where it is known.
func TestCheckSender_DiscardsForgedMessages(t *testing.T) {
	is := is.New(t)
	p, _ := configuration.Decode(nil)
	p.Revision = 1 << 40
	chosen := consensus.Chosen{Key: configuration.Key, Value: p.Encode(true)}
	for _, c := range []struct {
		right ids.Address
		msg   any
	}{
		{"10.0.0.2:1", chosen},
		{"10.0.0.4:1", spill.Table{Epoch: 1 << 60, Number: 1}},
		{"10.0.0.4:1", election.Term{Epoch: 1 << 60, Holder: "x"}},
		{"10.0.0.3:1", distribution.Ack{Proxy: "p", RunID: 1, Number: 1, Revision: 1 << 40, Now: 1 << 60}},
		{"10.0.0.3:1", spill.Report{Proxy: "p", RunID: 1, Number: 1 << 60}},
		{"10.0.0.4:1", DepartureAck{ID: "g", Instance: "i"}},
	} {
		b := newRegistryWithPeers()
		for _, from := range []ids.Address{unknownAddress, "10.0.0.5:1"} {
			is.Equal(b.countDiscards(from, c.msg), 1)
		}
		is.Equal(b.leadership.highestEpoch, ids.Epoch(0))
		is.Equal(b.configuration.view.Revision, ids.Revision(0))
		is.Equal(b.countDiscards(c.right, c.msg), 0)
	}
}

// Word that all proxies go by a target's earlier incarnation says nothing of
// this one, however far the earlier one had counted.
func TestDepartureAck_IgnoresEarlierIncarnation(t *testing.T) {
	is := is.New(t)
	b := newRegistryWithPeers()
	leaving := targets.Target{Instance: "i", Incarnation: 2, Sequence: 1, Leaving: true}
	b.departures.waiting = []departure{{callID: 1, target: leaving, deadline: b.now.Add(time.Hour), awaitedPeers: map[ids.DaemonID]bool{"g": true}}}
	b.countDiscards("10.0.0.4:1", DepartureAck{ID: "g", Instance: "i", Incarnation: 1, Sequence: 9})
	is.True(b.departures.waiting[0].awaitedPeers["g"])
	b.countDiscards("10.0.0.4:1", DepartureAck{ID: "g", Instance: "i", Incarnation: 2, Sequence: 1})
	is.True(!b.departures.waiting[0].awaitedPeers["g"])
}

// A store's answer counts for the try that went to that store, once.
func TestStoreResponses_DiscardedWhenUnsolicited(t *testing.T) {
	is := is.New(t)
	b := newRegistryWithPeers()
	var asked []event.Send
	for b.now = b.now.Add(time.Second); len(asked) == 0; b.now = b.now.Add(tickEvery) {
		for _, c := range b.Step(b.now, event.Tick{}) {
			if s, ok := c.(event.Send); ok {
				if _, ok := s.Msg.(consensus.Request); ok {
					asked = append(asked, s)
				}
			}
		}
	}
	r := asked[0].Msg.(consensus.Request)
	answer := consensus.Response{ID: r.ID, Attempt: r.Attempt, Outcome: consensus.Succeeded}
	other, earlier := answer, answer
	other.Attempt++
	earlier.ID -= 1 << 24
	is.Equal(b.countDiscards(unknownAddress, answer), 1)
	is.Equal(b.countDiscards(asked[0].To, other), 1)
	is.Equal(b.countDiscards(asked[0].To, earlier), 1)
	is.Equal(b.countDiscards(asked[0].To, answer), 0)
	is.Equal(b.countDiscards(asked[0].To, answer), 1) // doubled
}

// FuzzMessages gives a registry any message from a stranger: it neither panics
// nor takes orders.
func FuzzMessages(f *testing.F) {
	for _, msg := range []any{
		consensus.ChosenDifference{Key: configuration.Key},
		consensus.Chosen{Key: configuration.Key, Value: []byte(`{"revision":9}`)},
		consensus.Response{ID: 1 << 24, Outcome: consensus.Succeeded},
		distribution.Ack{Proxy: "p", RunID: 1, Number: 3},
		targets.Update{Targets: []targets.Target{{Instance: "i", Service: "s", Address: "10.0.0.9:80", Zone: "c", Incarnation: 1, Sequence: 1, Warmth: 1}}},
		PeerHeartbeat{ID: "g", RunID: 1},
		DepartureNotice{Asker: unknownAddress, Target: targets.Target{Instance: "i", Gone: true}},
		DepartureAck{ID: "g", Instance: "i"},
		spill.Report{Proxy: "p", RunID: 1, Zone: "c", Number: 1, IntervalMillis: 2000, Usage: []spill.ServiceUsage{{}}},
		spill.Table{Epoch: 2},
		election.Term{Epoch: 2},
		membership.Heartbeat{Self: membership.Member{ID: "x", Role: membership.Proxy, Address: unknownAddress}},
		membership.Suspect{Watcher: "x", ID: "p"},
		membership.Snapshot{Members: []membership.Member{{ID: "f", Gone: true}}},
		membership.Delta{Parts: []uint16{70}},
		membership.Digest{Parts: make([]uint64, 64)},
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
		for _, thrifty := range []bool{false, true} {
			b := newRegistryWithPeers()
			b.options.Incremental = thrifty
			b.Step(b.now, event.Received{From: unknownAddress, Msg: msg})
			for range 8 {
				b.now = b.now.Add(300 * time.Millisecond)
				b.Step(b.now, event.Tick{})
			}
			if b.leadership.highestEpoch != 0 || b.configuration.view.Revision != 0 || len(b.planner.table.Moves) > 0 {
				t.Fatalf("%#v was taken as an order", msg)
			}
		}
	})
}
