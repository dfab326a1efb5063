package checker

import (
	"fmt"
	"time"

	"dunlinwell/internal/base/ids"
)

// Emptied is a span for which a cell was to have no new work, from when the
// emptying was accepted until it was refilled; zero while it lasts.
type Emptied struct {
	Cell     ids.Name
	From, To time.Time
	// Asked is when the emptying was first asked for: its answer may come long
	// after it took effect.
	Asked time.Time
	// Open is when its refilling was known to be accepted.
	Open time.Time
}

// Empty notes that an emptying was accepted; Refill, that it ends.
func (t *Truth) Empty(cell ids.Name, asked, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.emptied = append(t.emptied, Emptied{Cell: cell, Asked: asked, From: at})
}

// Refill must be noted when it is asked for, as it may hold before its answer.
func (t *Truth) Refill(cell ids.Name, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := len(t.emptied) - 1; i >= 0; i-- {
		if e := &t.emptied[i]; e.Cell == cell {
			if e.To.IsZero() {
				e.To = at
			}
			e.Open = at
			return
		}
	}
}

// emptyWithin is how soon an emptied cell must be free of new work.
const emptyWithin = 5 * time.Second

// late counts new work in emptied cells.
func (t *Truth) late() Count {
	c := Count{What: "new work in a cell emptied over 5 s ago"}
	for _, e := range t.emptied {
		in := func(cell ids.Name, at time.Time) bool {
			return cell == e.Cell && at.After(e.From.Add(emptyWithin)) && (e.To.IsZero() || at.Before(e.To))
		}
		for _, r := range t.ran {
			if r.At.After(e.From.Add(emptyWithin)) {
				c.Judged++
			}
			if in(r.Cell, r.At) || in(r.By, r.At) {
				c.add(fmt.Sprintf("%s in %s ran %s through %s in %s, %s after", r.Instance, r.Cell, r.Token, r.Proxy, r.By, r.At.Sub(e.From).Round(time.Millisecond)))
			}
		}
	}
	return c
}
