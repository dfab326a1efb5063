package checker

import (
	"fmt"
	"time"

	"dunlinwell/internal/base/ids"
)

// ClosedConnection is a connection that a client held and that ended without its doing.
type ClosedConnection struct {
	At    time.Time
	Proxy string
	Zone  ids.Name
	Why   string
	// Excused: its proxy was killed, stopped, frozen or cut off at that time.
	Excused bool
}

// ConnectionClosed notes that a held connection was ended from the other side.
func (t *Checker) ConnectionClosed(c ClosedConnection) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closedConnections = append(t.closedConnections, c)
}

// emptiedAt tells whether a zone was, or had just been, emptied.
func (t *Checker) emptiedAt(zone ids.Name, at time.Time) bool {
	for _, e := range t.drains {
		// Refilling takes its few seconds to be in force as well.
		if e.Zone == zone && !at.Before(e.Asked) && (e.To.IsZero() || at.Before(e.Open.Add(configurationInForceWithin))) {
			return true
		}
	}
	return false
}

// live counts held connections that a move touched: ended by the other side, or
// turned away, with no fault and no emptying of their zone to excuse it.
func (t *Checker) live() RuleResult {
	c := RuleResult{Rule: "held circuit closed or turned away by a move"}
	for _, x := range t.closedConnections {
		if !x.Excused && !t.emptiedAt(x.Zone, x.At) {
			c.add(fmt.Sprintf("%s in %s closed one at %s: %s", x.Proxy, x.Zone, x.At.Format("15:04:05.000"), x.Why))
		}
	}
	for _, g := range t.responses {
		if !g.Held || g.NoAnswerOwed {
			continue
		}
		c.Judged++
		if t.NoFaults && g.Class != "answered" && !t.emptiedAt(g.Zone, g.Sent) {
			c.add(fmt.Sprintf("%s was %s by %s in %s", g.Token, g.Class, g.Proxy, g.Zone))
		}
	}
	return c
}
