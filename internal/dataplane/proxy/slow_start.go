package proxy

import (
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/dataplane/dispatch"
	"dunlinwell/internal/state/configuration"
)

// ageUnknown is an age, in milliseconds, at which no target is in slow start by its age.
const ageUnknown = 1 << 40

// limitSlowStart bounds the rate of requests to a target that is in slow start, for
// services that configure a rate. The rate is shared out among the proxies that have the
// target's slots; other proxies send it nothing.
func (c *Control) limitSlowStart(now ids.Time, class proximityClass, a *dispatch.Allocation) {
	service := c.view.Services[a.Service]
	if service.SlowStartRate <= 0 {
		return
	}
	a.SlowStartUntil = max(now.Add(time.Duration(a.SlowStartMillis)*time.Millisecond), c.slowStartUntil[a.Zone])
	if class == ownClass {
		a.SlowStartRate = service.SlowStartRate / float64(a.SlotShareCount)
	}
	// The target itself says how long its slow start lasts, so its age says nothing.
	a.AgeMillis = ageUnknown
}

// startSlowStart begins slow start for all targets of zones that a change of
// configuration takes back into use: they may have gone cold meanwhile, and their own
// report of that may still be on its way.
func (c *Control) startSlowStart(now ids.Time, previous *configuration.View) {
	for name, zone := range c.view.Zones {
		was := previous.Zones[name]
		if (!was.Evacuated && !was.Drained) || zone.Evacuated || zone.Drained {
			continue
		}
		if c.slowStartUntil == nil {
			c.slowStartUntil = map[ids.Name]ids.Time{}
		}
		c.slowStartUntil[name] = now.Add(c.longestSlowStart())
	}
}

// longestSlowStart is the longest slow start of all services that configure a rate.
func (c *Control) longestSlowStart() time.Duration {
	longest := 0
	for _, service := range c.view.Services {
		if service.SlowStartRate > 0 {
			longest = max(longest, service.SlowStartMillis)
		}
	}
	return time.Duration(longest) * time.Millisecond
}
