package registry

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/state/configuration"
	"dunlinwell/internal/state/consensus"
)

// orderZone hands a registry an order, and gives what it sends to the stores.
func (b *testRegistry) orderZone(id uint64) (order configuration.ZoneOrder, asked bool) {
	for _, c := range b.Step(b.now, ZoneOrderCall{ID: id, Zone: "a", Region: "south", Evacuate: true}) {
		switch c := c.(type) {
		case event.Send:
			if m, ok := c.Msg.(consensus.Request); ok && m.Op == configuration.OpOrderZone {
				asked = json.Unmarshal(m.Arg, &order) == nil
				b.deliver(consensus.Response{ID: m.ID, Outcome: consensus.Succeeded, Attempt: m.Attempt, Result: []byte(`{"stale":[{"kind":"cell","name":"a","version":3,"asked":2}]}`)})
			}
		case Response:
			b.status[c.ID] = c.Status
		}
	}
	return order, asked
}

// An order names the version that was known as it came in. One that was overtaken
// on its way is left without a clear answer, which is no refusal.
func TestZoneOrder_OvertakenByChangeIsIndeterminate(t *testing.T) {
	is := is.New(t)
	b := newTestRegistry(true)
	b.run(time.Second, nil)
	p, _ := configuration.Decode(nil)
	p, r := p.OrderZone(configuration.ZoneOrder{Zone: "a", Region: "south", Evacuate: false})
	is.True(r.Accepted())
	b.adoptConfiguration(p.Encode(true))
	order, asked := b.orderZone(7)
	is.True(asked)
	is.Equal(order, configuration.ZoneOrder{Zone: "a", Region: "south", Evacuate: true, KnownVersion: 1})
	is.Equal(b.status[7], 503)
}

// An order that may have waited for a process that stood still is too old: its
// caller may have ordered otherwise since, and this process may know of that.
func TestZoneOrder_IgnoredAroundProcessSuspension(t *testing.T) {
	is := is.New(t)
	b := newTestRegistry(true)
	b.run(time.Second, nil)
	b.now = b.now.Add(5 * time.Second)
	_, asked := b.orderZone(7) // before the first tick
	is.True(!asked)
	is.Equal(b.status[7], 503)
	b.run(2*tickEvery, nil)
	_, asked = b.orderZone(8) // and just after it
	is.True(!asked)
	is.Equal(b.status[8], 503)
	b.run(2*time.Second, nil)
	_, asked = b.orderZone(9)
	is.True(asked)
}
