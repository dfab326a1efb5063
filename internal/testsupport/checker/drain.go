package checker

import (
	"fmt"
	"time"

	"dunlinwell/internal/base/ids"
)

// Drain is a span in which a drained zone gets no new work.
type Drain struct {
	Zone ids.Name
	// From is when the draining was known to be accepted, and To when its end was
	// asked for; zero while it lasts.
	From, To time.Time
	// Asked is when the draining was first asked for: its answer may come long
	// after it took effect.
	Asked time.Time
	// RestoredAt is when its end was known to be accepted.
	RestoredAt time.Time
}

// ZoneDrained records that a request to drain a zone, sent at asked, was accepted.
func (c *Checker) ZoneDrained(zone ids.Name, asked, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drains = append(c.drains, Drain{Zone: zone, Asked: asked, From: at})
}

// ZoneRestored records the end of a zone's draining. It must be called when the end is asked for,
// which may take effect before its answer arrives, and again when it is accepted.
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

// drainWithin is how soon a drained zone must be free of new work: the bound that the users set.
const drainWithin = 5 * time.Second

// newWorkInDrainedZones finds executions in zones drained over drainWithin ago, or forwarded by
// proxies there.
func (c *Checker) newWorkInDrainedZones() RuleResult {
	result := RuleResult{Rule: "new work in a cell emptied over 5 s ago"}
	for _, drain := range c.drains {
		in := func(zone ids.Name, at time.Time) bool {
			return zone == drain.Zone && at.After(drain.From.Add(drainWithin)) && (drain.To.IsZero() || at.Before(drain.To))
		}
		for _, execution := range c.executions {
			if execution.At.After(drain.From.Add(drainWithin)) {
				result.Judged++
			}
			if in(execution.Zone, execution.At) || in(execution.ProxyZone, execution.At) {
				result.add(fmt.Sprintf("%s in %s ran %s through %s in %s, %s after", execution.Instance, execution.Zone, execution.Token, execution.Proxy, execution.ProxyZone, execution.At.Sub(drain.From).Round(time.Millisecond)))
			}
		}
	}
	return result
}
