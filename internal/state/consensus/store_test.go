package consensus

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"testing"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/testsupport/memorydisk"
	"dunlinwell/internal/transport/wire"
)

// This file holds shared helpers: a store with an acceptor, a proposer and an in-memory disk,
// and the exchange of messages between three such stores.

// testStore is one store. The tests execute its commands and deliver its messages.
type testStore struct {
	event.Outbox
	disk memorydisk.Disk
	*Acceptor
	*Proposer
	// bytesSynced counts the bytes of the values that syncAll wrote to the disk.
	bytesSynced int
}

// addresses holds the addresses of stores 1, 2 and 3.
var addresses = []ids.Address{"a", "b", "c"}

// threeVoters is the voter set of stores 1, 2 and 3.
var threeVoters = VoterSet{Number: 1, Voters: []Voter{{1, "a"}, {2, "b"}, {3, "c"}}}

// opAppend is the operation that the tests use to change a register.
const opAppend Op = 99

// appendArg appends the argument, even if it was appended before.
func appendArg(_ ids.RegisterKey, old, arg []byte) (next, result []byte) {
	next = slices.Concat(old, arg)
	return next, next
}

// appendArgOnce appends the argument unless the value contains it. It is idempotent, as change
// functions must be.
func appendArgOnce(key ids.RegisterKey, old, arg []byte) (next, result []byte) {
	if bytes.Contains(old, arg) {
		return old, old
	}
	return appendArg(key, old, arg)
}

// newTestAcceptor returns a store without a proposer.
func newTestAcceptor(id uint64, disk memorydisk.Disk) *testStore {
	s := &testStore{disk: disk}
	s.Acceptor = NewAcceptor(id, disk, &s.Outbox)
	return s
}

// newTestStore returns one run of a store.
func newTestStore(id uint64, disk memorydisk.Disk, proposerID uint64, change ChangeFunc, random *rand.Rand) *testStore {
	s := newTestAcceptor(id, disk)
	s.Proposer = NewProposer(proposerID, s.Acceptor.VoterSet, map[Op]ChangeFunc{opAppend: change}, random, &s.Outbox)
	return s
}

// newTestStores returns the stores of threeVoters, with appendArg as their change function.
func newTestStores() map[ids.Address]*testStore {
	stores := map[ids.Address]*testStore{}
	for i, at := range addresses {
		id := uint64(i + 1)
		s := newTestStore(id, memorydisk.Disk{}, id, appendArg, rand.New(rand.NewPCG(1, uint64(i))))
		s.MarkComplete()
		s.AdoptVoterSet(threeVoters)
		stores[at] = s
	}
	return stores
}

// syncAll executes the store's disk writes and returns the messages that it sends, in order.
func (s *testStore) syncAll() []event.Send {
	var sent []event.Send
	commands := s.Drain()
	for len(commands) > 0 {
		command := commands[0]
		commands = commands[1:]
		switch c := command.(type) {
		case event.Sync:
			s.disk.Write(c.Records)
			for _, record := range c.Records {
				s.bytesSynced += len(record.Value)
			}
			s.Acceptor.Synced(c.Batch)
			commands = slices.Concat(c.After, commands)
		case event.Send:
			sent = append(sent, c)
		}
	}
	return sent
}

// deliver passes a message to the handler for its type.
func (s *testStore) deliver(now ids.Time, from ids.Address, msg any) {
	switch m := msg.(type) {
	case Prepare:
		s.HandlePrepare(from, m)
	case Accept:
		s.HandleAccept(from, m)
	case AcceptDelta:
		s.HandleAcceptDelta(from, m)
	case Promise:
		s.HandlePromise(now, m)
	case Accepted:
		s.HandleAccepted(now, m)
	}
}

// exchange executes the commands of the stores until none is left, and passes their messages to
// onSend.
func exchange(stores map[ids.Address]*testStore, onSend func(from ids.Address, c event.Send)) {
	for busy := true; busy; {
		busy = false
		for _, at := range addresses {
			for _, c := range stores[at].syncAll() {
				busy = true
				onSend(at, c)
			}
		}
	}
}

// deliverAll delivers messages until none is left. It drops those between different stores
// whose link is down. It returns the responses to clients by client.
func deliverAll(now ids.Time, stores map[ids.Address]*testStore, isUp func(from, to ids.Address) bool) map[ids.Address][]Response {
	responses := map[ids.Address][]Response{}
	exchange(stores, func(from ids.Address, c event.Send) {
		if response, ok := c.Message.(Response); ok {
			responses[c.To] = append(responses[c.To], response)
			return
		}
		if to := stores[c.To]; to != nil && (c.To == from || isUp(from, c.To)) {
			to.deliver(now, from, c.Message)
		}
	})
	return responses
}

func allLinks(ids.Address, ids.Address) bool { return true }

func noLinks(ids.Address, ids.Address) bool { return false }

// mustSucceed returns the result of a client's only response.
func mustSucceed(t *testing.T, responses map[ids.Address][]Response, client ids.Address) string {
	t.Helper()
	got := responses[client]
	if len(got) != 1 || got[0].Outcome != Succeeded {
		t.Fatalf("%s received %+v, want one successful response", client, got)
	}
	return string(got[0].Result)
}

func mustEncode(t testing.TB, msg any) []byte {
	t.Helper()
	raw, err := wire.Encode(msg)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// randomText returns n random lowercase letters.
func randomText(random *rand.Rand, n int) []byte {
	text := make([]byte, n)
	for i := range text {
		text[i] = byte('a' + random.IntN(26))
	}
	return text
}
