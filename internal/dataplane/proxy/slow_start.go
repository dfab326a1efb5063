package proxy

import (
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/dataplane/dispatch"
	"dunlinwell/internal/state/configuration"
)

// agePastSlowStart is an age, in milliseconds, at which no target is in slow start by its
// age: 35 years, and a time.Duration still holds it.
const agePastSlowStart = 1 << 40

// applySlowStartRate bounds the rate of requests to a target that is in slow start, for
// services that configure a rate, and switches off slow start by age, which is for services
// without one. The rate is shared out among the proxies of nearestClass; other proxies send the
// target nothing meanwhile. Only fleets by zone have it.
func (c *Control) applySlowStartRate(now ids.Time, class proximityClass, a *dispatch.Allocation) {
	service := c.view.Services[a.Service]
	if service.SlowStartRate <= 0 {
		return
	}
	a.SlowStartUntil = max(now.Add(time.Duration(a.SlowStartMillis)*time.Millisecond), c.zoneSlowStartUntil[a.Zone])
	if class == nearestClass {
		a.SlowStartRate = service.SlowStartRate / float64(a.SlotShareCount)
	}
	// The target itself says how long its slow start lasts, so its age says nothing.
	a.AgeMillis = agePastSlowStart
}

// restartZoneSlowStart begins slow start for all targets of zones that a change of
// configuration takes back into use: they may have gone cold meanwhile, and their own
// report of that may still be on its way.
func (c *Control) restartZoneSlowStart(now ids.Time, previous *configuration.View) {
	for name, zone := range c.view.Zones {
		was := previous.Zones[name]
		if (!was.Evacuated && !was.Drained) || zone.Evacuated || zone.Drained {
			continue
		}
		if c.zoneSlowStartUntil == nil {
			c.zoneSlowStartUntil = map[ids.Name]ids.Time{}
		}
		c.zoneSlowStartUntil[name] = now.Add(c.longestSlowStart())
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
