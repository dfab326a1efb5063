package registry

import (
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/spill"
	"dunlinwell/internal/state/configuration"
)

// Load levels of a zone without configured ones, as fractions of the capacity that its
// targets report.
const (
	acceptableShare = 0.6
	targetShare     = 0.75
	maximumShare    = 0.9
)

const (
	// minMaximumToTarget is the minimum ratio of a learned maximum to the target level;
	// it keeps the maximum above the target.
	minMaximumToTarget = 1.02
	// minDerivedCapacity is the minimum capacity of a zone; it keeps the levels of a zone
	// without usable targets above zero.
	minDerivedCapacity = 1
	// millisPerSecond converts a target's capacity, in concurrent requests, to
	// milliseconds of work per second.
	millisPerSecond = 1000
)

// currentZones returns the load and the levels of every configured zone.
func (r *Registry) currentZones(now ids.Time) map[ids.Name]spill.Zone {
	proxies, ranks := r.liveProxies(), r.routeRanks()
	capacities := r.zoneCapacities(now)
	zones := map[ids.Name]spill.Zone{}
	for name, configured := range r.configuration.view.Zones {
		zone := r.Reports.BuildZone(now, name, proxies, ranks)
		zone.Drained = configured.Drained
		if r.hasDerivedLevels(configured) {
			deriveLevels(&zone, capacities[name])
		} else {
			r.setConfiguredLevels(&zone, configured)
		}
		zones[name] = zone
	}
	return zones
}

// hasDerivedLevels reports whether a zone's levels are derived from the capacity of its targets.
func (r *Registry) hasDerivedLevels(zone configuration.Zone) bool {
	return zone.LoadDefaulted && r.options.DeriveZoneLevels
}

// setConfiguredLevels sets the configured levels. A learned maximum overrides the
// configured one.
func (r *Registry) setConfiguredLevels(zone *spill.Zone, configured configuration.Zone) {
	zone.Acceptable, zone.Target, zone.Maximum = configured.AcceptableLoad, configured.TargetLoad, configured.MaximumLoad
	if fit, known := r.planner.learnedMaxima[zone.Name]; known && fit.Learned {
		zone.Maximum = max(fit.Maximum, configured.TargetLoad*minMaximumToTarget)
	}
}

// deriveLevels sets a zone's levels from the capacity of its targets, in milliseconds of
// work per second.
func deriveLevels(zone *spill.Zone, capacity float64) {
	capacity = max(capacity, minDerivedCapacity)
	zone.Acceptable, zone.Target, zone.Maximum = acceptableShare*capacity, targetShare*capacity, maximumShare*capacity
}

// zoneCapacities returns the total reported capacity of the targets of each zone, in
// milliseconds of work per second; nil unless Options.DeriveZoneLevels is set. Targets in
// slow start and those of drained or evacuated zones are excluded.
func (r *Registry) zoneCapacities(now ids.Time) map[ids.Name]float64 {
	if !r.options.DeriveZoneLevels {
		return nil
	}
	capacities := map[ids.Name]float64{}
	for _, target := range r.Targets.All(now) {
		zone := r.configuration.view.Zones[target.Zone]
		if target.Usable() && target.SlowStartMillis == 0 && !zone.Evacuated && !zone.Drained {
			capacities[target.Zone] += float64(target.Capacity) * millisPerSecond
		}
	}
	return capacities
}
