package dispatch

import (
	"maps"
	"slices"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/targets"
)

// ServiceState is all that a dispatcher knows of its service. It is an event, sent whole
// whenever targets, configuration or the number of proxies change.
type ServiceState struct {
	Targets []Allocation
	// DefaultCapacity is the number of slots of a target that names no capacity itself.
	DefaultCapacity int
	// SlowStartDuration is how long a restarted target takes to ramp up to its
	// capacity; 0 to leave the ramp to the target's own Warmth. Targets of a service
	// with a slow-start rate come with an age beyond it, so that only the rate holds.
	SlowStartDuration time.Duration
	// RetryBudget is the capacity of this proxy's retry budget, in retries.
	RetryBudget float64
	// IsCurrent tells that the state was confirmed at least once since the process
	// started or woke from a freeze. While it is unset nothing is forwarded. How long a
	// confirmation holds is LeaseExpiresAt's to say.
	IsCurrent bool
	// OwnZoneDrained is set once the proxy's own zone has been drained for some
	// seconds (proxy.zoneDrainDelay). Nothing is forwarded then; jobs that wait are
	// rejected as well.
	OwnZoneDrained bool
	// LeaseExpiresAt is until when requests may be forwarded by this state.
	LeaseExpiresAt ids.Time
	// RouteRules are the rules of each route in force.
	RouteRules map[ids.Name]RouteRules
	// RunEnded tells whether a run of a daemon is over, so that its claims will never
	// be completed. It may be nil.
	RunEnded func(ids.DaemonID, ids.RunID) bool `json:"-"`
}

// Allocation is a target and the part of its slots that this proxy may use.
type Allocation struct {
	targets.Target
	// AgeMeasuredAt is when the target's AgeMillis was right.
	AgeMeasuredAt ids.Time
	// SlotShareIndex is this proxy's index among the SlotShareCount proxies that divide
	// the target's slots. A count of 0 counts as 1.
	SlotShareIndex, SlotShareCount int
	// Distance is 0 to targets of the proxy's own zone, up to 1 within its region, and
	// more to others.
	Distance float64
	// ZoneDrained tells that the target's zone is drained or evacuated: it gets no requests.
	ZoneDrained bool
	// Oversubscription is how many times the target's slots are divided among the
	// proxies; 0 counts as 1. With 2, each may use what another leaves free, and the
	// target's own short queue takes what they send at the same moment.
	Oversubscription int
	// Region is the target's.
	Region ids.Name
	// SlowStartUntil is until when the target gets no more than SlowStartRate requests
	// a second from this proxy; with a rate of 0, none. It is 0 for services without a
	// slow-start rate.
	SlowStartUntil ids.Time
	SlowStartRate  float64
}

// onServiceState replaces the service's state. A target that isn't part of it any more
// is removed once its last request has ended.
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
	// Sorted, so that the same random source gives the same choices.
	d.sortedEndpoints = d.sortedEndpoints[:0]
	for _, id := range slices.Sorted(maps.Keys(d.endpoints)) {
		d.sortedEndpoints = append(d.sortedEndpoints, d.endpoints[id])
	}
	d.dispatchQueue(now)
}
