package policy

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"dunlinwell/internal/base/ids"
)

// copyOfOrder is one copy of an order on its way: what its registry knew when it
// came in may be older than the truth, and it takes effect later.
type copyOfOrder struct{ CellOrder }

// Orders to shut a cell and to open it again have no ids, and each is sent several
// times. A copy that takes effect late, after the operator was told that a later
// order holds, must not undo that one.
func TestALateCopyOfAnOrderUndoesNothing(t *testing.T) {
	late := 0
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 4))
		p := empty(t)
		var onTheWay []copyOfOrder
		shut := false
		for range 20 {
			shut = !shut
			// Some registries have not heard yet of what was agreed last.
			known := p.CellVersion("a")
			for range 1 + random.IntN(3) {
				behind := ids.Revision(0)
				if random.IntN(3) == 0 {
					behind = min(known, ids.Revision(random.IntN(2)))
				}
				onTheWay = append(onTheWay, copyOfOrder{CellOrder{"a", "south", shut, known - behind}})
			}
			for acknowledged := false; !acknowledged; {
				i := random.IntN(len(onTheWay))
				c := onTheWay[i]
				next, r := p.OrderCell(c.CellOrder)
				onTheWay = append(onTheWay[:i], onTheWay[i+1:]...)
				p = next
				acknowledged = r.Accepted() && c.Shut == shut && isShut(p) == shut
				if len(onTheWay) == 0 && !acknowledged {
					onTheWay = append(onTheWay, copyOfOrder{CellOrder{"a", "south", shut, p.CellVersion("a")}})
				}
			}
			// The operator knows that this order holds; now the late copies come.
			for len(onTheWay) > 0 && random.IntN(3) > 0 {
				i := random.IntN(len(onTheWay))
				next, r := p.OrderCell(onTheWay[i].CellOrder)
				if len(r.Stale) > 0 {
					late++
				}
				onTheWay = append(onTheWay[:i], onTheWay[i+1:]...)
				if p = next; isShut(p) != shut {
					t.Fatalf("seed %d: a late copy undid an acknowledged order", seed)
				}
			}
		}
	}
	if late < 100 {
		t.Fatalf("only %d copies were late", late)
	}
}

func isShut(p *Policy) bool { return p.View().Cells["a"].Shut }

// What else was said of the cell stays, an order that changes nothing writes
// nothing, and neither a removal nor a fresh cell is mistaken for what was known.
func TestCellOrders(t *testing.T) {
	is := is.New(t)
	p, _ := change(t, empty(t), "1", `{"kind":"cell","name":"a","put":{"target":100,"region":"south","emptied":true}}`)
	q, r := p.OrderCell(CellOrder{"a", "south", true, p.CellVersion("a")})
	is.True(r.Accepted())
	is.Equal(r.Items, []Touched{{"cell", "a", 2}})
	v := q.View().Cells["a"]
	is.True(v.Shut && v.Emptied && v.Target == 100)
	same, r := q.OrderCell(CellOrder{"a", "south", true, 0})
	is.True(r.Accepted())
	is.True(same == q)
	same, r = q.OrderCell(CellOrder{"a", "south", false, 1})
	is.Equal(r.Stale, []Stale{{Touched{"cell", "a", 2}, 1}})
	is.True(same == q)
	// A removed cell has the version of its removal.
	q, r = change(t, q, "2", `{"kind":"cell","name":"a","remove":true}`)
	is.True(r.Accepted())
	_, r = q.OrderCell(CellOrder{"a", "south", true, 0})
	is.Equal(len(r.Stale), 1)
	q, r = q.OrderCell(CellOrder{"a", "south", true, q.CellVersion("a")})
	is.True(r.Accepted())
	is.True(q.View().Cells["a"].Region == "south" && q.Cells["a"].Version == 4)
}
