package consensus

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
)

const largeSize = 4 << 20

// countLarge counts the messages to an address that carry a large value.
func countLarge(list []event.Command, to ids.Address) int {
	n := 0
	for _, c := range list {
		s, ok := c.(event.Send)
		if !ok || s.To != to {
			continue
		}
		if m, ok := s.Msg.(Accept); ok && len(m.Value) >= largeSize {
			n++
		}
		if m, ok := s.Msg.(Request); ok && len(m.Arg) >= largeSize {
			n++
		}
	}
	return n
}

// A large value takes its time to arrive. Sent again every 100 ms meanwhile, it
// queued up behind itself: 20 copies of 4 MB to each store within two seconds.
func TestProposer_LargeValueIsNotResentBeforeItCanArrive(t *testing.T) {
	is := is.New(t)
	all := newTestStores(t)
	a := all["a"]
	a.Submit(1, "w", Request{ID: 1, Key: "x", Op: opAdd, Arg: make([]byte, largeSize), TimeoutMillis: 60000})
	copies := 0
	for now := ids.Time(1); now < ids.Time(2*time.Second); now = now.Add(20 * time.Millisecond) {
		a.Proposer.Tick(now)
		list := a.Drain()
		copies += countLarge(list, "b")
		for _, c := range list {
			a.Emit(c)
		}
		// Promises come at once; what carries the value is still under way.
		deliverAll(now, all, func(ids.Address, ids.Address) bool { return !a.accepting("x") })
	}
	is.True(copies >= 1)
	is.True(copies <= 2)
}

func (r *testStore) accepting(key ids.RegisterKey) bool {
	x := r.rounds[key]
	return x != nil && x.phase == accepting
}

// A large request is given the time to arrive before another store is asked,
// which would only begin to contend with the first.
func TestClient_LargeRequestIsNotSentToEveryStore(t *testing.T) {
	is := is.New(t)
	for size, most := range map[int]int{10: 10, largeSize: 1} {
		var out event.Outbox
		c := NewClient(1, &out)
		c.StoreOrder = func(ids.RegisterKey) []ids.Address { return []ids.Address{"a", "b", "c"} }
		c.Call(1, "x", opAdd, make([]byte, size), 10*time.Second, func(ids.Time, Outcome, []byte) {})
		n := 0
		for now := ids.Time(1); now < ids.Time(3*time.Second); now = now.Add(50 * time.Millisecond) {
			c.Tick(now)
			for _, cmd := range out.Drain() {
				if _, ok := cmd.(event.Send); ok {
					n++
				}
			}
		}
		is.True(n >= 1)
		is.True(n <= most)
	}
}
