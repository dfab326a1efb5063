package configuration

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
)

// copyOfOrder is one copy of an order on its way: what its registry knew when it
// came in may be older than the truth, and it takes effect later.
type copyOfOrder struct{ ZoneOrder }

// Orders to shut a zone and to open it again have no ids, and each is sent several
// times. A copy that takes effect late, after the operator was told that a later
// order holds, must not undo that one.
func TestOrderZone_LateCopyNeverUndoesAcknowledgedOrder(t *testing.T) {
	late := 0
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 4))
		p := emptyDocument(t)
		var onTheWay []copyOfOrder
		shut := false
		for range 20 {
			shut = !shut
			// Some registries have not heard yet of what was agreed last.
			known := p.ZoneVersion("a")
			for range 1 + random.IntN(3) {
				behind := ids.Revision(0)
				if random.IntN(3) == 0 {
					behind = min(known, ids.Revision(random.IntN(2)))
				}
				onTheWay = append(onTheWay, copyOfOrder{ZoneOrder{"a", "south", shut, known - behind}})
			}
			for acknowledged := false; !acknowledged; {
				i := random.IntN(len(onTheWay))
				c := onTheWay[i]
				next, r := p.OrderZone(c.ZoneOrder)
				onTheWay = append(onTheWay[:i], onTheWay[i+1:]...)
				p = next
				acknowledged = r.Accepted() && c.Evacuate == shut && isEvacuated(p) == shut
				if len(onTheWay) == 0 && !acknowledged {
					onTheWay = append(onTheWay, copyOfOrder{ZoneOrder{"a", "south", shut, p.ZoneVersion("a")}})
				}
			}
			// The operator knows that this order holds; now the late copies come.
			for len(onTheWay) > 0 && random.IntN(3) > 0 {
				i := random.IntN(len(onTheWay))
				next, r := p.OrderZone(onTheWay[i].ZoneOrder)
				if len(r.VersionConflicts) > 0 {
					late++
				}
				onTheWay = append(onTheWay[:i], onTheWay[i+1:]...)
				if p = next; isEvacuated(p) != shut {
					t.Fatalf("seed %d: a late copy undid an acknowledged order", seed)
				}
			}
		}
	}
	if late < 100 {
		t.Fatalf("only %d copies were late", late)
	}
}

func isEvacuated(p *Document) bool { return p.View().Zones["a"].Evacuated }

// What else was said of the zone stays, an order that changes nothing writes
// nothing, and neither a removal nor a fresh zone is mistaken for what was known.
func TestOrderZone_KeepsOtherFieldsAndRejectsStaleOrders(t *testing.T) {
	is := is.New(t)
	p, _ := applyChange(t, emptyDocument(t), "1", `{"kind":"cell","name":"a","put":{"target":100,"region":"south","emptied":true}}`)
	q, r := p.OrderZone(ZoneOrder{"a", "south", true, p.ZoneVersion("a")})
	is.True(r.Accepted())
	is.Equal(r.Items, []ItemVersion{{"cell", "a", 2}})
	v := q.View().Zones["a"]
	is.True(v.Evacuated && v.Drained && v.TargetLoad == 100)
	same, r := q.OrderZone(ZoneOrder{"a", "south", true, 0})
	is.True(r.Accepted())
	is.True(same == q)
	same, r = q.OrderZone(ZoneOrder{"a", "south", false, 1})
	is.Equal(r.VersionConflicts, []VersionConflict{{ItemVersion{"cell", "a", 2}, 1}})
	is.True(same == q)
	// A removed zone has the version of its removal.
	q, r = applyChange(t, q, "2", `{"kind":"cell","name":"a","remove":true}`)
	is.True(r.Accepted())
	_, r = q.OrderZone(ZoneOrder{"a", "south", true, 0})
	is.Equal(len(r.VersionConflicts), 1)
	q, r = q.OrderZone(ZoneOrder{"a", "south", true, q.ZoneVersion("a")})
	is.True(r.Accepted())
	is.True(q.View().Zones["a"].Region == "south" && q.Zones["a"].Version == 4)
}
