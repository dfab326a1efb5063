package configuration

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
)

// ordersInFlight are copies of orders that haven't arrived yet. Each names what its
// registry knew when the order came in, which may be out of date.
type ordersInFlight struct {
	random *rand.Rand
	orders []ZoneOrder
}

// send adds one to three copies of an order. Some of their registries haven't learned
// the present version yet.
func (o *ordersInFlight) send(evacuate bool, present ids.Revision) {
	for range 1 + o.random.IntN(3) {
		behind := ids.Revision(0)
		if o.random.IntN(3) == 0 {
			behind = min(present, ids.Revision(o.random.IntN(2)))
		}
		o.orders = append(o.orders, ZoneOrder{"a", "south", evacuate, present - behind})
	}
}

// takeOne removes and returns any of the orders.
func (o *ordersInFlight) takeOne() ZoneOrder {
	i := o.random.IntN(len(o.orders))
	order := o.orders[i]
	o.orders = append(o.orders[:i], o.orders[i+1:]...)
	return order
}

// deliverUntilAcknowledged applies orders until one is acknowledged that leaves the zone
// as asked, and sends another copy if none is left.
func (o *ordersInFlight) deliverUntilAcknowledged(d *Document, evacuate bool) *Document {
	for {
		order := o.takeOne()
		next, res := d.OrderZone(order)
		d = next
		if res.Accepted() && order.Evacuate == evacuate && zoneAIsEvacuated(d) == evacuate {
			return d
		}
		if len(o.orders) == 0 {
			o.orders = append(o.orders, ZoneOrder{"a", "south", evacuate, d.ZoneVersion("a")})
		}
	}
}

// Orders to evacuate a zone and to end the evacuation have no ids, and each is sent
// several times. A copy that arrives late, after a later order was acknowledged, must not
// undo that one.
func TestOrderZone_LateCopyNeverUndoesAcknowledgedOrder(t *testing.T) {
	lateCopies := 0
	for seed := range uint64(200) {
		inFlight := ordersInFlight{random: rand.New(rand.NewPCG(seed, 4))}
		d := emptyDocument(t)
		evacuate := false
		for range 20 {
			evacuate = !evacuate
			inFlight.send(evacuate, d.ZoneVersion("a"))
			d = inFlight.deliverUntilAcknowledged(d, evacuate)
			for len(inFlight.orders) > 0 && inFlight.random.IntN(3) > 0 {
				next, res := d.OrderZone(inFlight.takeOne())
				if len(res.VersionConflicts) > 0 {
					lateCopies++
				}
				if d = next; zoneAIsEvacuated(d) != evacuate {
					t.Fatalf("seed %d: a late copy undid an acknowledged order", seed)
				}
			}
		}
	}
	if lateCopies < 100 {
		t.Fatalf("only %d copies were late", lateCopies)
	}
}

func zoneAIsEvacuated(d *Document) bool { return d.View().Zones["a"].Evacuated }

// Other fields of the zone stay, an order that changes nothing writes nothing, and an
// order is stale after the zone was changed or removed.
func TestOrderZone_KeepsOtherFieldsAndRejectsStaleOrders(t *testing.T) {
	is := is.New(t)
	d, _ := applyChange(t, emptyDocument(t), "1", `{"kind":"cell","name":"a","put":{"target":100,"region":"south","emptied":true}}`)
	next, res := d.OrderZone(ZoneOrder{"a", "south", true, d.ZoneVersion("a")})
	is.True(res.Accepted())
	is.Equal(res.Items, []ItemVersion{{"cell", "a", 2}})
	v := next.View().Zones["a"]
	is.True(v.Evacuated && v.Drained && v.TargetLoad == 100)
	same, res := next.OrderZone(ZoneOrder{"a", "south", true, 0})
	is.True(res.Accepted())
	is.True(same == next)
	same, res = next.OrderZone(ZoneOrder{"a", "south", false, 1})
	is.Equal(res.VersionConflicts, []VersionConflict{{ItemVersion{"cell", "a", 2}, 1}})
	is.True(same == next)
	// A removed zone has the version of its removal.
	next, res = applyChange(t, next, "2", `{"kind":"cell","name":"a","remove":true}`)
	is.True(res.Accepted())
	_, res = next.OrderZone(ZoneOrder{"a", "south", true, 0})
	is.Equal(len(res.VersionConflicts), 1)
	next, res = next.OrderZone(ZoneOrder{"a", "south", true, next.ZoneVersion("a")})
	is.True(res.Accepted())
	is.True(next.View().Zones["a"].Region == "south" && next.Zones["a"].Version == 4)
}
