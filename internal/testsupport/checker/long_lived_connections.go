package checker

import (
	"fmt"
	"time"

	"dunlinwell/internal/base/ids"
)

// ClosedConnection is a client's long-lived connection that the peer closed.
type ClosedConnection struct {
	At    time.Time
	Proxy string
	Zone  ids.Name
	// Reason describes how the closing was noticed, for RuleResult.Sample.
	Reason string
	// Excused reports whether the proxy was killed, stopped, frozen or partitioned at that time.
	Excused bool
}

// ConnectionClosed records that the peer closed a long-lived connection.
func (c *Checker) ConnectionClosed(closed ClosedConnection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closedConnections = append(c.closedConnections, closed)
}

// drainedAt reports whether a zone was drained at a time, or until configurationInForceWithin
// before it.
func (c *Checker) drainedAt(zone ids.Name, at time.Time) bool {
	for _, drain := range c.drains {
		// Restoring a zone may take as long to reach the proxies as any other change.
		if drain.Zone == zone && !at.Before(drain.RequestedAt) && (drain.To.IsZero() || at.Before(drain.RestoredAt.Add(configurationInForceWithin))) {
			return true
		}
	}
	return false
}

// longLivedConnectionsClosed finds long-lived connections that were closed, or whose requests were
// not answered, without a fault or a drain of their zone. Moving new connections between zones must
// not affect existing ones.
func (c *Checker) longLivedConnectionsClosed() RuleResult {
	result := RuleResult{Rule: "long-lived connection closed or rejected by a move"}
	for _, closed := range c.closedConnections {
		if !closed.Excused && !c.drainedAt(closed.Zone, closed.At) {
			result.add(fmt.Sprintf("%s in %s closed a connection at %s: %s", closed.Proxy, closed.Zone, closed.At.Format("15:04:05.000"), closed.Reason))
		}
	}
	for _, response := range c.responses {
		if !response.LongLived || response.ResponseOptional {
			continue
		}
		result.Judged++
		if c.NoFaults && response.Class != ClassAnswered && !c.drainedAt(response.Zone, response.Sent) {
			result.add(fmt.Sprintf("%s was %s by %s in %s", response.Token, response.Class, response.Proxy, response.Zone))
		}
	}
	return result
}
