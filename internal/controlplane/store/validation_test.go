package store

import (
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/state/consensus"
	"dunlinwell/internal/transport/wire"
)

// memoryStorage syncs whatever it is given at once.
type memoryStorage map[ids.RegisterKey][]byte

func (m memoryStorage) Get(k ids.RegisterKey) ([]byte, bool) { v, ok := m[k]; return v, ok }

func (m memoryStorage) Scan(ids.RegisterKey, int) []event.Record { return nil }

const (
	unknownAddress = ids.Address("10.9.9.9:1")
	testTime       = ids.Time(time.Second)
)

var threeVoters = consensus.VoterSet{Number: 4, Voters: []consensus.Voter{
	{ID: 1, Address: "10.0.0.1:1"}, {ID: 2, Address: "10.0.0.2:1"}, {ID: 3, Address: "10.0.0.3:1"},
}}

// newVoter gives store 1 of three, and its disk.
func newVoter() (*Store, memoryStorage) {
	disk := memoryStorage{}
	s := New(Options{
		Options: membership.Options{Self: membership.Member{ID: "store-1", Address: "10.0.0.1:1", RunID: 5, Incarnation: 1}},
		StoreID: 1, RunNumber: 3, Storage: disk, Random: rand.New(rand.NewPCG(1, 1)), Replicas: 3,
	})
	s.AdoptVoterSet(threeVoters)
	s.MarkComplete()
	performCommands(s, disk, s.Step(testTime, event.Tick{}))
	return s, disk
}

// performCommands writes what was to be synced, and gives what was sent and discarded.
func performCommands(s *Store, disk memoryStorage, commands []event.Command) (sent []event.Send, discarded []event.Discarded) {
	for len(commands) > 0 {
		c := commands[0]
		commands = commands[1:]
		switch c := c.(type) {
		case event.Sync:
			for _, r := range c.Records {
				disk[r.Key] = r.Value
			}
			commands = append(append(commands, c.After...), s.Step(testTime, event.Synced{Batch: c.Batch})...)
		case event.Send:
			sent = append(sent, c)
		case event.Discarded:
			discarded = append(discarded, c)
		}
	}
	return sent, discarded
}

func deliver(s *Store, disk memoryStorage, from ids.Address, msg any) ([]event.Send, []event.Discarded) {
	return performCommands(s, disk, s.Step(testTime, event.Received{From: from, Msg: msg}))
}

func persistedRecords(disk memoryStorage) map[ids.RegisterKey]string {
	records := map[ids.RegisterKey]string{}
	for k, v := range disk {
		if k != memberCacheKey {
			records[k] = string(v)
		}
	}
	return records
}

// What can't be true, or comes from one who isn't what it claims, changes
// nothing, is answered by nothing, and is reported.
func TestReceive_ForgedMessagesChangeNothing(t *testing.T) {
	future := consensus.VoterSet{Number: 1 << 40, Voters: []consensus.Voter{{ID: 9, Address: unknownAddress}}}
	raw, _ := wire.Encode(future)
	prepare := consensus.Prepare{Key: "policy", Ballot: ids.Ballot{Counter: 1 << 41, Proposer: 2 << 24}, VoterSetNumber: 4, Round: 7}
	maximalBallot := prepare
	maximalBallot.Ballot.Counter = 1<<64 - 1
	for name, c := range map[string]struct {
		from ids.Address
		msg  any
	}{
		"a voter set from the future":        {unknownAddress, consensus.VoterSetUpdate{VoterSet: future}},
		"a voter set without voters":         {"10.0.0.2:1", consensus.VoterSetUpdate{VoterSet: consensus.VoterSet{Number: 9}}},
		"a voter set with one voter twice":   {"10.0.0.2:1", consensus.VoterSetUpdate{VoterSet: consensus.VoterSet{Number: 9, Voters: append(threeVoters.Voters, threeVoters.Voters[0])}}},
		"a founding by a stranger":           {unknownAddress, consensus.Bootstrap{VoterSet: future}},
		"an answer to a request of its own":  {"10.0.0.2:1", consensus.Response{Outcome: consensus.Succeeded, Result: raw}},
		"a prepare of a stranger":            {unknownAddress, prepare},
		"an accept of a stranger":            {unknownAddress, consensus.Accept{Key: "policy", Ballot: prepare.Ballot, VoterSetNumber: 4, Value: []byte("x")}},
		"a difference of a stranger":         {unknownAddress, consensus.AcceptDifference{Key: "policy", Ballot: prepare.Ballot, VoterSetNumber: 4}},
		"a ballot that nothing can outrank":  {"10.0.0.2:1", maximalBallot},
		"a promise in another's name":        {"10.0.0.3:1", consensus.Promise{Key: consensus.VoterSetKey, Store: 2, VoterSetNumber: 4}},
		"a promise of one who isn't a voter": {unknownAddress, consensus.Promise{Key: consensus.VoterSetKey, Store: 99, VoterSetNumber: 4}},
		"a vote for an earlier run":          {"10.0.0.2:1", consensus.Accepted{Key: consensus.VoterSetKey, Store: 2, VoterSetNumber: 4, Round: 1, OK: true}},
		"a page in another's name":           {unknownAddress, consensus.PageResponse{Store: 2, VoterSetNumber: 4, Last: true}},
		"a hello for another address":        {unknownAddress, consensus.Hello{Store: consensus.Voter{ID: 9, Address: "10.0.0.2:1"}, Blank: true}},
		"a hello without a store":            {unknownAddress, consensus.Hello{Store: consensus.Voter{Address: unknownAddress}}},
	} {
		s, disk := newVoter()
		before := persistedRecords(disk)
		sent, discarded := deliver(s, disk, c.from, c.msg)
		if len(sent) > 0 || len(discarded) != 1 || !reflect.DeepEqual(persistedRecords(disk), before) || !reflect.DeepEqual(s.Acceptor.VoterSet(), threeVoters) {
			t.Errorf("%s: sent %v, discarded %v, voter set %v", name, sent, discarded, s.Acceptor.VoterSet())
		}
	}
}

// The same words, true and from the right one, are taken.
func TestReceive_HonestMessagesAreAccepted(t *testing.T) {
	is := is.New(t)
	s, disk := newVoter()
	sent, discarded := deliver(s, disk, "10.0.0.2:1", consensus.Prepare{Key: "policy", Ballot: ids.Ballot{Counter: 1 << 41, Proposer: 2 << 24}, VoterSetNumber: 4, Round: 7})
	is.Equal(len(sent), 1)
	is.Equal(len(discarded), 0)
	next := threeVoters
	next.Number++
	_, discarded = deliver(s, disk, "10.0.0.3:1", consensus.VoterSetUpdate{VoterSet: next})
	is.Equal(len(discarded), 0)
	is.Equal(s.Acceptor.VoterSet().Number, next.Number)
	// A newcomer that has said hello may propose.
	deliver(s, disk, "10.0.0.9:1", consensus.Hello{Store: consensus.Voter{ID: 9, Address: "10.0.0.9:1"}, Blank: true})
	sent, discarded = deliver(s, disk, "10.0.0.9:1", consensus.Prepare{Key: "roster", Ballot: ids.Ballot{Counter: 1 << 41, Proposer: 9 << 24}, VoterSetNumber: 5, Round: 7})
	is.Equal(len(sent), 1)
	is.Equal(len(discarded), 0)
}

// FuzzMessages gives a voter any message from a stranger: it neither panics
// nor votes, and its voter set stays.
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
		membership.Suspect{Watcher: "x", ID: "store-1"},
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
			t.Fatalf("%#v led to the voter set %v", msg, s.Acceptor.VoterSet())
		}
	})
}
