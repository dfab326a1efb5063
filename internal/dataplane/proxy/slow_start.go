package proxy

import (
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/dataplane/dispatch"
	"dunlinwell/internal/state/configuration"
)

// agePastSlowStart is an age, in milliseconds, longer than any slow start. It doesn't overflow a
// time.Duration.
const agePastSlowStart = 1 << 40

// applySlowStartRate limits the request rate to a target in slow start if its service configures a
// slow-start rate, and disables the slow start by age, which is for services without a rate. The
// rate is divided among the proxies of nearestClass; other proxies send no requests to the target
// during slow start. It is used only with SlotLayout.ByZone.
func (c *Control) applySlowStartRate(now ids.Time, class proximityClass, a *dispatch.Allocation) {
	service := c.view.Services[a.Service]
	if service.SlowStartRate <= 0 {
		return
	}
	a.SlowStartUntil = max(now.Add(time.Duration(a.SlowStartMillis)*time.Millisecond), c.zoneSlowStartUntil[a.Zone])
	if class == nearestClass {
		a.SlowStartRate = service.SlowStartRate / float64(a.SlotShareCount)
	}
	// The target reports the remaining time of its slow start, so its age isn't used.
	a.AgeMillis = agePastSlowStart
}

// restartZoneSlowStart starts slow start for all targets of zones that a configuration change puts
// back into use. The targets may have become cold, and their own reports may not have arrived yet.
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

// longestSlowStart returns the longest slow start of the services that configure a rate.
func (c *Control) longestSlowStart() time.Duration {
	longest := 0
	for _, service := range c.view.Services {
		if service.SlowStartRate > 0 {
			longest = max(longest, service.SlowStartMillis)
		}
	}
	return time.Duration(longest) * time.Millisecond
}
