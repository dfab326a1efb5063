package store

import (
	"reflect"
	"testing"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/state/consensus"
	"dunlinwell/internal/transport/wire"
)

// FuzzMessages checks that no message from an unknown address makes a voter panic or changes
// its voter set.
func FuzzMessages(f *testing.F) {
	for _, msg := range []any{
		consensus.Prepare{Key: "policy", VoterSetNumber: 4, Ballot: ids.Ballot{Counter: 9, Proposer: 9}},
		consensus.Promise{Key: "policy", Store: 2},
		consensus.Accept{Key: "policy", VoterSetNumber: 4, Value: []byte("x")},
		consensus.Accepted{Key: "policy", Store: 2, OK: true},
		consensus.VoterSetUpdate{VoterSet: threeVoters},
		consensus.Request{ID: 1, Key: "policy", Op: 1, Arg: []byte("{}"), TimeoutMillis: 100},
		consensus.Response{Outcome: consensus.Succeeded},
		consensus.PageRequest{VoterSetNumber: 4},
		consensus.PageResponse{Store: 2, Last: true},
		consensus.Hello{Store: consensus.Voter{ID: 9, Address: unknownAddress}},
		consensus.Bootstrap{VoterSet: threeVoters},
		consensus.ConfigurationReply{Revision: 9, Configuration: []byte("{}")},
		membership.Heartbeat{Self: membership.Member{ID: "x", Role: membership.Store, Address: unknownAddress}},
		membership.Snapshot{Members: []membership.Member{{ID: "y"}}},
		membership.Digest{Parts: make([]uint64, 64)},
		membership.Delta{Parts: []uint16{1}},
		membership.Suspect{Watcher: "x", Member: "store-1"},
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
		s, disk := newVoter()
		deliver(s, disk, unknownAddress, msg)
		for i := range 5 {
			performCommands(s, disk, s.Step(testTime.Add(time.Duration(i)*300*time.Millisecond), event.Tick{}))
		}
		if !reflect.DeepEqual(s.Acceptor.VoterSet(), threeVoters) {
			t.Fatalf("%#v changed the voter set to %v", msg, s.Acceptor.VoterSet())
		}
	})
}
