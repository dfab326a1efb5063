package registry

import (
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/spill"
)

// Shares of what a zone's targets bear, for set points that nobody named. They
// stand as far apart as the source's: target between acceptable and maximum.
const (
	acceptableShare = 0.6
	targetShare     = 0.75
	maximumShare    = 0.9
)

// zoneCapacities gives what each zone's targets bear, in ms of work a second, as they
// state it themselves. A cold one bears little, a shut zone's nothing.
func (r *Registry) zoneCapacities(now ids.Time) map[ids.Name]float64 {
	if !r.options.DeriveLevels {
		return nil
	}
	capacities := map[ids.Name]float64{}
	for _, t := range r.Targets.All(now) {
		if c := r.view.Zones[t.Zone]; t.Usable() && !c.Evacuated && !c.Drained && t.SlowStartMillis == 0 {
			capacities[t.Zone] += float64(t.Capacity) * 1000
		}
	}
	return capacities
}

// deriveLevels sets a zone's levels by what its targets bear.
func (r *Registry) deriveLevels(zone *spill.Zone, capacity float64) {
	capacity = max(capacity, 1)
	zone.Acceptable, zone.Target, zone.Maximum = acceptableShare*capacity, targetShare*capacity, maximumShare*capacity
}
