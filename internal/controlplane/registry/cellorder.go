package registry

import (
	"encoding/json"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/policy"
)

// CellOrderCall asks for a cell to be shut or opened, in an order without an id.
type CellOrderCall struct {
	ID     uint64
	Cell   ids.Name
	Region ids.Name
	Shut   bool
}

// oldestOrder is how long an order may have waited for this process: its caller
// has sent it again by then, and may have ordered otherwise since.
const oldestOrder = time.Second

// orderCell has an order agreed on, if no other change of the cell came between
// what is known here now and the order's effect.
func (f *Registry) orderCell(now ids.Time, c CellOrderCall) {
	if f.mayHaveSlept(now) {
		f.orderOvertaken(c.ID)
		return
	}
	order := policy.CellOrder{Cell: c.Cell, Region: c.Region, Shut: c.Shut, Known: f.policy.CellVersion(c.Cell)}
	raw, err := json.Marshal(order)
	if err != nil {
		f.Emit(Response{ID: c.ID, Status: 400, Body: Problem{err.Error()}})
		return
	}
	f.agree(now, c.ID, policy.OpOrderCell, raw, func(now ids.Time, r policy.Result) {
		if len(r.Stale) == 0 {
			f.answerResult(c.ID)(now, r)
			return
		}
		f.orderOvertaken(c.ID)
		f.catchUp(now)
	})
}

// orderOvertaken answers an order that had no effect, and that its caller may
// not want any more: no refusal, as a copy of it may have been taken.
func (f *Registry) orderOvertaken(id uint64) {
	f.Emit(Response{ID: id, Status: 503, Body: Problem{"the cell was changed meanwhile; send the order again if it is still wanted"}, Retry: 1})
}

// mayHaveSlept tells whether what comes in now may have waited for a process
// that stood still.
func (f *Registry) mayHaveSlept(now ids.Time) bool {
	return f.last != 0 && now.Since(f.last) > oldestOrder || f.woke != 0 && now.Since(f.woke) < oldestOrder
}

// catchUp reads the policy without waiting for the next poll.
func (f *Registry) catchUp(now ids.Time) {
	if !f.reading {
		f.readPolicy(now)
	}
}
