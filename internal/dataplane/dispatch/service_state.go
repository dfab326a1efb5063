package dispatch

import (
	"maps"
	"slices"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/targets"
)

// ServiceState is what a dispatcher has to hand: an event of its own, sent whole whenever
// targets, configuration or the number of proxies change.
type ServiceState struct {
	Targets           []Allocation
	DefaultCapacity   int
	SlowStartDuration time.Duration
	// RetryBudget is this proxy's share of the retry allowance.
	RetryBudget float64
	// InStep: the proxy goes by what is in force, as far as it can know.
	IsCurrent bool
	// Closed: the proxy's own zone has been emptied for some seconds.
	OwnZoneDrained bool
	// LeaseExpiresAt is until when requests may leave by all this.
	LeaseExpiresAt ids.Time
	// Terms are those in force, by route.
	Terms map[ids.Name]RouteTerms
	// RunEnded tells whether a run of a proxy is over.
	RunEnded func(ids.DaemonID, ids.RunID) bool `json:"-"`
}

// Allocation is a target as it is offered to this proxy.
type Allocation struct {
	targets.Target
	// AgeMeasuredAt is when Age was right.
	AgeMeasuredAt ids.Time
	// LiveProxy is this proxy's place among the Seats that share the target.
	SlotShareIndex, SlotShareCount int
	Distance                       float64
	ZoneDrained                    bool
	// Oversubscription is how many times the target's places are given out among the seats:
	// its own small queue takes what comes at the same time. 0 is once.
	Oversubscription int
	// Region is where the target stands.
	Region ids.Name
	// SlowStartUntil and Rate bound a cold target: until then it gets Rate requests a
	// second from this proxy, and none where that is 0.
	SlowStartUntil ids.Time
	SlowStartRate  float64
}

func (d *Dispatcher) onServiceState(now ids.Time, state ServiceState) {
	d.service, d.leaseExpiresAt = state, state.LeaseExpiresAt
	d.retryBudget.capacity = state.RetryBudget
	seen := map[ids.InstanceID]bool{}
	for _, allocation := range state.Targets {
		seen[allocation.Instance] = true
		e := d.endpoints[allocation.Instance]
		if e == nil {
			e = &endpoint{}
			d.endpoints[allocation.Instance] = e
		}
		e.Allocation, e.removed = allocation, false
	}
	for id, e := range d.endpoints {
		if !seen[id] {
			e.removed = true
			if e.inFlight <= 0 {
				delete(d.endpoints, id)
			}
		}
	}
	// The order of instances, so that one seed is one run.
	d.sortedEndpoints = d.sortedEndpoints[:0]
	for _, id := range slices.Sorted(maps.Keys(d.endpoints)) {
		d.sortedEndpoints = append(d.sortedEndpoints, d.endpoints[id])
	}
	d.dispatchQueue(now)
}
