package consensus

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
)

// largeSize is the size in bytes of a value that takes seconds to transfer.
const largeSize = 4 << 20

// countLargeAccepts counts the messages to an address that carry a large value.
func countLargeAccepts(commands []event.Command, to ids.Address) int {
	n := 0
	for _, c := range commands {
		send, ok := c.(event.Send)
		if !ok || send.To != to {
			continue
		}
		if m, ok := send.Message.(Accept); ok && len(m.Value) >= largeSize {
			n++
		}
	}
	return n
}

// A large value isn't resent while its transfer may still be running. Otherwise the copies
// would fill the send queue.
func TestProposer_LargeValueIsNotResentBeforeItCanArrive(t *testing.T) {
	is := is.New(t)
	stores := newTestStores()
	a := stores["a"]
	a.Submit(1, "w", Request{ID: 1, Key: "x", Op: opAppend, Arg: make([]byte, largeSize), TimeoutMillis: 60000})
	copies := 0
	for now := ids.Time(1); now < ids.Time(2*time.Second); now = now.Add(20 * time.Millisecond) {
		a.Proposer.Tick(now)
		commands := a.Drain()
		copies += countLargeAccepts(commands, "b")
		for _, c := range commands {
			a.Emit(c)
		}
		// Promises are delivered immediately; messages with the value stay in transit.
		deliverAll(now, stores, func(ids.Address, ids.Address) bool { return !a.accepting("x") })
	}
	is.True(copies >= 1)
	is.True(copies <= 2)
}

// accepting reports whether the store's proposer is collecting votes for a register.
func (s *testStore) accepting(key ids.RegisterKey) bool {
	r := s.rounds[key]
	return r != nil && r.phase == accepting
}
