package checker

import (
	"fmt"
	"time"

	"dunlinwell/internal/base/ids"
)

// Drain is a span for which a zone was to have no new work, from when the
// emptying was accepted until it was refilled; zero while it lasts.
type Drain struct {
	Zone     ids.Name
	From, To time.Time
	// Asked is when the emptying was first asked for: its answer may come long
	// after it took effect.
	Asked time.Time
	// Open is when its refilling was known to be accepted.
	Open time.Time
}

// ZoneDrained notes that an emptying was accepted; Refill, that it ends.
func (t *Checker) ZoneDrained(zone ids.Name, asked, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.drains = append(t.drains, Drain{Zone: zone, Asked: asked, From: at})
}

// ZoneRestored must be noted when it is asked for, as it may hold before its answer.
func (t *Checker) ZoneRestored(zone ids.Name, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := len(t.drains) - 1; i >= 0; i-- {
		if e := &t.drains[i]; e.Zone == zone {
			if e.To.IsZero() {
				e.To = at
			}
			e.Open = at
			return
		}
	}
}

// drainWithin is how soon an emptied zone must be free of new work.
const drainWithin = 5 * time.Second

// late counts new work in emptied zones.
func (t *Checker) late() RuleResult {
	c := RuleResult{Rule: "new work in a cell emptied over 5 s ago"}
	for _, e := range t.drains {
		in := func(zone ids.Name, at time.Time) bool {
			return zone == e.Zone && at.After(e.From.Add(drainWithin)) && (e.To.IsZero() || at.Before(e.To))
		}
		for _, r := range t.executions {
			if r.At.After(e.From.Add(drainWithin)) {
				c.Judged++
			}
			if in(r.Zone, r.At) || in(r.ProxyZone, r.At) {
				c.add(fmt.Sprintf("%s in %s ran %s through %s in %s, %s after", r.Instance, r.Zone, r.Token, r.Proxy, r.ProxyZone, r.At.Sub(e.From).Round(time.Millisecond)))
			}
		}
	}
	return c
}
