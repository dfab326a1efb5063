package checker

import (
	"fmt"
	"time"

	"dunlinwell/internal/base/ids"
)

// ClosedConnection is a long-lived connection of a client that was closed by the other side.
type ClosedConnection struct {
	At    time.Time
	Proxy string
	Zone  ids.Name
	// Why says for samples on what occasion it was closed.
	Why string
	// Excused: its proxy was killed, stopped, frozen or cut off at that time.
	Excused bool
}

// ConnectionClosed records that a long-lived connection was closed by the other side.
func (c *Checker) ConnectionClosed(closed ClosedConnection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closedConnections = append(c.closedConnections, closed)
}

// drainedAt reports whether a zone was drained at a time, or had been until just before.
func (c *Checker) drainedAt(zone ids.Name, at time.Time) bool {
	for _, drain := range c.drains {
		// The end of draining may take as long as any change to be in force.
		if drain.Zone == zone && !at.Before(drain.Asked) && (drain.To.IsZero() || at.Before(drain.RestoredAt.Add(configurationInForceWithin))) {
			return true
		}
	}
	return false
}

// longLivedConnectionsClosed finds long-lived connections that were closed, or whose requests were
// not answered, though neither a fault nor the draining of their zone explains it. Moving new
// connections between zones must never touch those that exist.
func (c *Checker) longLivedConnectionsClosed() RuleResult {
	result := RuleResult{Rule: "held circuit closed or turned away by a move"}
	for _, closed := range c.closedConnections {
		if !closed.Excused && !c.drainedAt(closed.Zone, closed.At) {
			result.add(fmt.Sprintf("%s in %s closed one at %s: %s", closed.Proxy, closed.Zone, closed.At.Format("15:04:05.000"), closed.Why))
		}
	}
	for _, response := range c.responses {
		if !response.Held || response.NoAnswerOwed {
			continue
		}
		result.Judged++
		if c.NoFaults && response.Class != ClassAnswered && !c.drainedAt(response.Zone, response.Sent) {
			result.add(fmt.Sprintf("%s was %s by %s in %s", response.Token, response.Class, response.Proxy, response.Zone))
		}
	}
	return result
}
