package checker

import (
	"fmt"
	"time"

	"dunlinwell/internal/base/ids"
)

// Drain is a period during which a zone is drained and must get no new requests.
type Drain struct {
	Zone ids.Name
	// From is when the drain was known to be accepted. To is when its end was requested; zero
	// until then.
	From, To time.Time
	// RequestedAt is when the drain was first requested. It may take effect long before its response
	// arrives.
	RequestedAt time.Time
	// RestoredAt is when the end of the drain was known to be accepted.
	RestoredAt time.Time
}

// ZoneDrained records that a request to drain a zone, first sent at requestedAt, was
// accepted at acceptedAt.
func (c *Checker) ZoneDrained(zone ids.Name, requestedAt, acceptedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drains = append(c.drains, Drain{Zone: zone, RequestedAt: requestedAt, From: acceptedAt})
}

// ZoneRestored records the end of a zone's drain. It must be called when the end is requested, as
// that may take effect before its response arrives, and again when it is accepted.
func (c *Checker) ZoneRestored(zone ids.Name, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := len(c.drains) - 1; i >= 0; i-- {
		if drain := &c.drains[i]; drain.Zone == zone {
			if drain.To.IsZero() {
				drain.To = at
			}
			drain.RestoredAt = at
			return
		}
	}
}

// drainWithin is the required time from the acceptance of a drain until the zone gets no new
// requests.
const drainWithin = 5 * time.Second

// newWorkInDrainedZones finds requests that were executed in a zone drained more than drainWithin
// ago, or forwarded by a proxy there.
func (c *Checker) newWorkInDrainedZones() RuleResult {
	result := RuleResult{Rule: "new request in a zone drained over 5 s ago"}
	for _, drain := range c.drains {
		violates := func(zone ids.Name, at time.Time) bool {
			return zone == drain.Zone && at.After(drain.From.Add(drainWithin)) && (drain.To.IsZero() || at.Before(drain.To))
		}
		for _, execution := range c.executions {
			if execution.At.After(drain.From.Add(drainWithin)) {
				result.Judged++
			}
			if violates(execution.Zone, execution.At) || violates(execution.ProxyZone, execution.At) {
				result.add(fmt.Sprintf("%s in %s executed %s through %s in %s, %s after the drain", execution.Instance, execution.Zone, execution.Token, execution.Proxy, execution.ProxyZone, execution.At.Sub(drain.From).Round(time.Millisecond)))
			}
		}
	}
	return result
}
