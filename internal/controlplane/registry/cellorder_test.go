package registry

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/state/consensus"
	"dunlinwell/internal/state/policy"
)

// orderedCell hands a registry an order, and gives what it sends to the stores.
func (b *bench) orderedCell(id uint64) (order policy.CellOrder, asked bool) {
	for _, c := range b.Step(b.now, CellOrderCall{ID: id, Cell: "a", Region: "south", Shut: true}) {
		switch c := c.(type) {
		case event.Send:
			if m, ok := c.Msg.(consensus.Request); ok && m.Op == policy.OpOrderCell {
				asked = json.Unmarshal(m.Arg, &order) == nil
				b.hear(consensus.Response{ID: m.ID, State: consensus.Done, Try: m.Try, Result: []byte(`{"stale":[{"kind":"cell","name":"a","version":3,"asked":2}]}`)})
			}
		case Response:
			b.status[c.ID] = c.Status
		}
	}
	return order, asked
}

// An order names the version that was known as it came in. One that was overtaken
// on its way is left without a clear answer, which is no refusal.
func TestAnOvertakenOrderIsNotRefused(t *testing.T) {
	is := is.New(t)
	b := newBench(true)
	b.run(time.Second, nil)
	p, _ := policy.Open(nil)
	p, r := p.OrderCell(policy.CellOrder{Cell: "a", Region: "south", Shut: false})
	is.True(r.Accepted())
	b.adopt(p.Pack(true))
	order, asked := b.orderedCell(7)
	is.True(asked)
	is.Equal(order, policy.CellOrder{Cell: "a", Region: "south", Shut: true, Known: 1})
	is.Equal(b.status[7], 503)
}

// An order that may have waited for a process that stood still is too old: its
// caller may have ordered otherwise since, and this process may know of that.
func TestAnOrderOfBeforeASleepHasNoEffect(t *testing.T) {
	is := is.New(t)
	b := newBench(true)
	b.run(time.Second, nil)
	b.now = b.now.Add(5 * time.Second)
	_, asked := b.orderedCell(7) // before the first tick
	is.True(!asked)
	is.Equal(b.status[7], 503)
	b.run(2*tickEvery, nil)
	_, asked = b.orderedCell(8) // and just after it
	is.True(!asked)
	is.Equal(b.status[8], 503)
	b.run(2*time.Second, nil)
	_, asked = b.orderedCell(9)
	is.True(asked)
}
