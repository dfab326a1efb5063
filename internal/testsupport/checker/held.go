package checker

import (
	"fmt"
	"time"

	"dunlinwell/internal/base/ids"
)

// Closed is a connection that a consumer held and that ended without its doing.
type Closed struct {
	At    time.Time
	Proxy string
	Cell  ids.Name
	Why   string
	// Excused: its proxy was killed, stopped, frozen or cut off at that time.
	Excused bool
}

// Close notes that a held connection was ended from the other side.
func (t *Truth) Close(c Closed) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = append(t.closed, c)
}

// emptiedAt tells whether a cell was, or had just been, emptied.
func (t *Truth) emptiedAt(cell ids.Name, at time.Time) bool {
	for _, e := range t.emptied {
		// Refilling takes its few seconds to be in force as well.
		if e.Cell == cell && !at.Before(e.Asked) && (e.To.IsZero() || at.Before(e.Open.Add(forceWithin))) {
			return true
		}
	}
	return false
}

// live counts held connections that a move touched: ended by the other side, or
// turned away, with no fault and no emptying of their cell to excuse it.
func (t *Truth) live() Count {
	c := Count{What: "held circuit closed or turned away by a move"}
	for _, x := range t.closed {
		if !x.Excused && !t.emptiedAt(x.Cell, x.At) {
			c.add(fmt.Sprintf("%s in %s closed one at %s: %s", x.Proxy, x.Cell, x.At.Format("15:04:05.000"), x.Why))
		}
	}
	for _, g := range t.got {
		if !g.Held || g.Loose {
			continue
		}
		c.Judged++
		if t.Calm && g.Class != "answered" && !t.emptiedAt(g.Cell, g.Sent) {
			c.add(fmt.Sprintf("%s was %s by %s in %s", g.Token, g.Class, g.Proxy, g.Cell))
		}
	}
	return c
}
