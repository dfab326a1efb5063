package dispatch

import (
	"maps"
	"slices"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/targets"
)

// ServiceState is the event that replaces all of a dispatcher's information about its
// service. It is sent whenever the targets, the configuration or the number of proxies change.
type ServiceState struct {
	Targets []Allocation
	// DefaultCapacity is the number of slots of a target with no capacity of its own.
	DefaultCapacity int
	// SlowStartDuration is how long a restarted target takes to ramp up to its capacity; 0
	// to use only the Warmth that the target reports. Targets of a service with a
	// slow-start rate are passed with an age beyond it, so that only the rate applies.
	SlowStartDuration time.Duration
	// RetryBudget is the capacity of this proxy's retry budget, in retries.
	RetryBudget float64
	// IsCurrent is set if the state was confirmed at least once since the process started
	// or resumed after a pause. Nothing is forwarded while it is unset. LeaseExpiresAt
	// limits how long a confirmation is valid.
	IsCurrent bool
	// OwnZoneDrained is set once the proxy's own zone has been drained for some seconds
	// (proxy.zoneDrainDelay). Nothing is forwarded then, and waiting jobs are rejected.
	OwnZoneDrained bool
	// LeaseExpiresAt is the time until which requests may be forwarded based on this state.
	LeaseExpiresAt ids.Time
	// RouteRules are the current rules of each route.
	RouteRules map[ids.Name]RouteRules
	// RunEnded reports whether a run of a daemon has ended, so that its claims will never
	// be completed. It may be nil.
	RunEnded func(ids.DaemonID, ids.RunID) bool `json:"-"`
}

// Allocation is a target and the share of its slots that this proxy may use.
type Allocation struct {
	targets.Target
	// AgeMeasuredAt is the time at which the target had the age AgeMillis.
	AgeMeasuredAt ids.Time
	// SlotShareIndex is this proxy's index among the SlotShareCount proxies that divide
	// the target's slots. A count of 0 is treated as 1.
	SlotShareIndex, SlotShareCount int
	// Distance is 0 for targets in the proxy's own zone, up to 1 for those in its region,
	// and more for others.
	Distance float64
	// ZoneDrained is set if the target's zone is drained or evacuated. The target gets no
	// requests then.
	ZoneDrained bool
	// Oversubscription is how many times the target's slots are divided among the proxies;
	// 0 is treated as 1. With 2, proxies can use slots that others leave free, and the
	// target's own short queue absorbs simultaneous requests.
	Oversubscription int
	// Region is the target's region.
	Region ids.Name
	// SlowStartUntil is the end of the target's slow start, during which this proxy sends it
	// at most SlowStartRate requests per second; with a rate of 0, none. It is 0 for
	// services without a slow-start rate.
	SlowStartUntil ids.Time
	SlowStartRate  float64
}

// onServiceState replaces the service state. A target that is no longer part of it is deleted
// once its last request has ended.
func (d *Dispatcher) onServiceState(now ids.Time, state ServiceState) {
	d.service, d.leaseExpiresAt = state, state.LeaseExpiresAt
	d.retryBudget.capacity = state.RetryBudget
	listed := map[ids.InstanceID]bool{}
	for _, allocation := range state.Targets {
		listed[allocation.Instance] = true
		e := d.endpoints[allocation.Instance]
		if e == nil {
			e = &endpoint{}
			d.endpoints[allocation.Instance] = e
		}
		e.Allocation, e.removed = allocation, false
	}
	for id, e := range d.endpoints {
		if listed[id] {
			continue
		}
		e.removed = true
		if e.inFlight <= 0 {
			delete(d.endpoints, id)
		}
	}
	// Sorted to keep choices deterministic for a given random source.
	d.sortedEndpoints = d.sortedEndpoints[:0]
	for _, id := range slices.Sorted(maps.Keys(d.endpoints)) {
		d.sortedEndpoints = append(d.sortedEndpoints, d.endpoints[id])
	}
	d.dispatchQueue(now)
}
