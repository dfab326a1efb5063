package registry

import (
	"fmt"
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

const (
	proxyAddress   ids.Address = "10.0.0.3:1"
	peerAddress    ids.Address = "10.0.0.4:1"
	unknownAddress ids.Address = "10.9.9.9:1"
)

// newRegistryWithPeers returns a registry that knows a proxy, another registry and a store,
// none of which answers.
func newRegistryWithPeers() *testRegistry {
	r := newTestRegistry(false)
	r.partitioned = true
	for _, member := range []membership.Member{
		{ID: "p", Role: membership.Proxy, Address: proxyAddress, RunID: 1},
		{ID: "g", Role: membership.Registry, Address: peerAddress, RunID: 1},
		{ID: "s", Role: membership.Store, Address: storeAddress, RunID: 1, Ready: true},
	} {
		r.Step(r.now, event.Received{From: member.Address, Message: membership.Heartbeat{Self: member}})
	}
	r.Step(r.now, event.Tick{})
	return r
}

// Commands and acknowledgements are accepted only from the known address of a daemon that
// may send them.
func TestCheckSender_DiscardsForgedMessages(t *testing.T) {
	document, err := configuration.Decode(nil)
	is.New(t).NoErr(err)
	document.Revision = 1 << 40
	for _, c := range []struct {
		sender ids.Address
		msg    any
	}{
		{storeAddress, consensus.Chosen{Key: configuration.Key, Value: document.Encode(true)}},
		{peerAddress, spill.Table{Epoch: 1 << 60, Number: 1}},
		{peerAddress, election.Term{Epoch: 1 << 60, Holder: "x"}},
		{proxyAddress, distribution.Ack{Proxy: "p", RunID: 1, Number: 1, Revision: 1 << 40, Now: 1 << 60}},
		{proxyAddress, spill.Report{Proxy: "p", RunID: 1, Number: 1 << 60}},
		{peerAddress, DepartureAck{ID: "g", Instance: "i"}},
	} {
		t.Run(fmt.Sprintf("%T", c.msg), func(t *testing.T) {
			is := is.New(t)
			r := newRegistryWithPeers()
			for _, from := range []ids.Address{unknownAddress, "10.0.0.5:1"} {
				is.Equal(r.countDiscards(from, c.msg), 1)
			}
			is.Equal(r.leadership.highestEpoch, ids.Epoch(0))
			is.Equal(r.configuration.view.Revision, ids.Revision(0))
			is.Equal(r.countDiscards(c.sender, c.msg), 0)
		})
	}
}

// An acknowledgement for an earlier incarnation of a target doesn't cover the current one,
// even if its sequence is higher.
func TestDepartureAck_IgnoresEarlierIncarnation(t *testing.T) {
	is := is.New(t)
	r := newRegistryWithPeers()
	leaving := targets.Target{Instance: "i", Incarnation: 2, Sequence: 1, Draining: true}
	r.departures.waiting = []departure{{callID: 1, target: leaving, deadline: r.now.Add(time.Hour), awaitedPeers: map[ids.DaemonID]bool{"g": true}}}
	r.countDiscards(peerAddress, DepartureAck{ID: "g", Instance: "i", Incarnation: 1, Sequence: 9})
	is.True(r.departures.waiting[0].awaitedPeers["g"])
	r.countDiscards(peerAddress, DepartureAck{ID: "g", Instance: "i", Incarnation: 2, Sequence: 1})
	is.True(!r.departures.waiting[0].awaitedPeers["g"])
}

// A store's response is accepted once, and only for the attempt that was sent to that store.
func TestStoreResponses_DiscardedWhenUnsolicited(t *testing.T) {
	is := is.New(t)
	r := newRegistryWithPeers()
	sent := r.awaitStoreRequest()
	request := sent.Message.(consensus.Request)
	response := emptyReply(request)
	otherAttempt, earlierCall := response, response
	otherAttempt.Attempt++
	earlierCall.ID -= 1 << 24
	is.Equal(r.countDiscards(unknownAddress, response), 1)
	is.Equal(r.countDiscards(sent.To, otherAttempt), 1)
	is.Equal(r.countDiscards(sent.To, earlierCall), 1)
	is.Equal(r.countDiscards(sent.To, response), 0)
	is.Equal(r.countDiscards(sent.To, response), 1) // duplicate
}

// awaitStoreRequest advances time until the registry sends a request to a store.
func (r *testRegistry) awaitStoreRequest() event.Send {
	r.now = r.now.Add(time.Second)
	for {
		for _, command := range r.Step(r.now, event.Tick{}) {
			if send, ok := command.(event.Send); ok {
				if _, ok := send.Message.(consensus.Request); ok {
					return send
				}
			}
		}
		r.now = r.now.Add(testTickInterval)
	}
}

// FuzzMessages passes arbitrary messages from an unknown address to a registry, which must
// neither panic nor accept any of them as a command.
func FuzzMessages(f *testing.F) {
	for _, msg := range []any{
		consensus.ChosenDelta{Key: configuration.Key},
		consensus.Chosen{Key: configuration.Key, Value: []byte(`{"revision":9}`)},
		consensus.Response{ID: 1 << 24, Outcome: consensus.Succeeded},
		distribution.Ack{Proxy: "p", RunID: 1, Number: 3},
		targets.Update{Targets: []targets.Target{{Instance: "i", Service: "s", Address: "10.0.0.9:80", Zone: "c", Incarnation: 1, Sequence: 1, Warmth: 1}}},
		PeerHeartbeat{ID: "g", RunID: 1},
		DepartureNotice{Requester: unknownAddress, Target: targets.Target{Instance: "i", Dead: true}},
		DepartureAck{ID: "g", Instance: "i"},
		spill.Report{Proxy: "p", RunID: 1, Zone: "c", Number: 1, IntervalMillis: 2000, Usage: []spill.ServiceUsage{{}}},
		spill.Table{Epoch: 2},
		election.Term{Epoch: 2},
		membership.Heartbeat{Self: membership.Member{ID: "x", Role: membership.Proxy, Address: unknownAddress}},
		membership.Suspect{Watcher: "x", Member: "p"},
		membership.Snapshot{Members: []membership.Member{{ID: "f", Dead: true}}},
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
		for _, incremental := range []bool{false, true} {
			r := newRegistryWithPeers()
			r.options.Incremental = incremental
			r.Step(r.now, event.Received{From: unknownAddress, Message: msg})
			for range 8 {
				r.now = r.now.Add(300 * time.Millisecond)
				r.Step(r.now, event.Tick{})
			}
			if r.leadership.highestEpoch != 0 || r.configuration.view.Revision != 0 || len(r.planner.table.Moves) > 0 {
				t.Fatalf("%#v was accepted from an unknown address", msg)
			}
		}
	})
}
