package proxy

import (
	"maps"
	"slices"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/dataplane/dispatch"
)

// refreshState holds the state last sent to the dispatchers. Computing it takes time proportional
// to the number of targets times the number of proxies, so its rate is limited. A refresh for
// each push of a burst could delay the processing of messages, such as a configuration change,
// by seconds.
type refreshState struct {
	lastRefresh ids.Time
	sentState   stateVersion
	// sentServices are the services whose dispatchers were refreshed last, sorted by name.
	sentServices []ids.Name
	// sentRouteRules are the route rules last sent to the dispatchers, by service and route.
	sentRouteRules map[ids.Name]map[ids.Name]dispatch.RouteRules
	// unacknowledged are the pushes whose contents weren't sent to the dispatchers yet.
	unacknowledged []receivedPush
}

// stateVersion identifies a version of the state that is sent to the dispatchers.
type stateVersion struct {
	targets, members uint64
	revision         ids.Revision
	// confirmed is set if configuration and targets were confirmed since the last process
	// pause.
	confirmed bool
	// zoneClosed is the result of Control.zoneClosed.
	zoneClosed bool
	// unlimitedLeaseStarted is a copy of leaseState's field.
	unlimitedLeaseStarted bool
	slotHolders           int
}

const (
	// refreshCostPerPair is the part of the refresh interval per pair of a target and a proxy.
	// It is about ten times the CPU time per pair, so that refreshes take at most about a
	// tenth of a core.
	refreshCostPerPair = 10 * time.Microsecond
	// maxRefreshInterval is the maximum delay of a refresh. It is well below the time in which
	// a change must take effect (DefaultLease).
	maxRefreshInterval = 400 * time.Millisecond
	// minRefreshInterval is the interval below which refreshes aren't delayed.
	minRefreshInterval = tickInterval
)

// refreshDispatchers sends every dispatcher the state of its service if the state has changed,
// and otherwise only the end of the lease.
func (c *Control) refreshDispatchers(now ids.Time) {
	c.startUnlimitedLease(now)
	holders := c.slotHolders(now)
	next := c.currentStateVersion(now, len(holders))
	if next == c.sentState {
		c.renewLease()
		c.acknowledge(now)
		return
	}
	if c.mayDelayRefresh(now, next) {
		return
	}
	c.lastRefresh = now
	c.sentState, c.sentConfirmedAt = next, c.confirmedAt()
	c.sendServiceStates(now, holders)
	c.acknowledge(now)
}

func (c *Control) currentStateVersion(now ids.Time, slotHolders int) stateVersion {
	return stateVersion{
		targets: c.targets.Version(), members: c.Version(), revision: c.view.Revision,
		confirmed: c.confirmedAt() > c.resumedAt, zoneClosed: c.zoneClosed(now), unlimitedLeaseStarted: c.unlimitedLeaseStarted, slotHolders: slotHolders,
	}
}

// mayDelayRefresh reports whether a refresh may wait for a later tick. Changes that determine
// whether this proxy serves, and the first state of a dispatcher, are never delayed.
func (c *Control) mayDelayRefresh(now ids.Time, next stateVersion) bool {
	sent := c.sentState
	if c.hasNewService() || sent.confirmed != next.confirmed || sent.zoneClosed != next.zoneClosed || sent.unlimitedLeaseStarted != next.unlimitedLeaseStarted {
		return false
	}
	pairs := c.targets.Len() * next.slotHolders
	interval := min(time.Duration(pairs)*refreshCostPerPair, maxRefreshInterval)
	return c.lastRefresh != 0 && interval >= minRefreshInterval && now.Sub(c.lastRefresh) < interval
}

// hasNewService reports whether there is a service whose dispatcher has no state yet.
func (c *Control) hasNewService() bool {
	for name := range c.view.Services {
		if _, sent := slices.BinarySearch(c.sentServices, name); !sent {
			return true
		}
	}
	return false
}

// sendServiceStates sends every dispatcher the state of its service, sorted by name.
func (c *Control) sendServiceStates(now ids.Time, holders []membership.Member) {
	runEnded := c.runEndedFunc()
	allocations := c.allocations(now, holders)
	for _, name := range c.sentServices {
		// The dispatcher of a removed service must stop serving it.
		if _, ok := c.view.Services[name]; !ok {
			c.Emit(DispatchEvent{name, dispatch.ServiceState{}})
		}
	}
	c.sentServices = slices.Sorted(maps.Keys(c.view.Services))
	for _, name := range c.sentServices {
		service := c.view.Services[name]
		c.Emit(DispatchEvent{name, dispatch.ServiceState{
			Targets:           allocations[name],
			DefaultCapacity:   service.DefaultCapacity,
			SlowStartDuration: time.Duration(service.SlowStartMillis) * time.Millisecond,
			RetryBudget:       c.retryBudget(service, holders),
			IsCurrent:         c.sentState.confirmed || c.Lease == UnlimitedLease,
			LeaseExpiresAt:    c.leaseEnd(),
			RouteRules:        c.sentRouteRules[name],
			OwnZoneDrained:    c.sentState.zoneClosed,
			RunEnded:          runEnded,
		}})
	}
}

// routeRulesByService returns the rules of all routes, by service and route.
func (c *Control) routeRulesByService() map[ids.Name]map[ids.Name]dispatch.RouteRules {
	rules := map[ids.Name]map[ids.Name]dispatch.RouteRules{}
	for name, route := range c.view.Routes {
		// A route that splits its traffic has rules for each of its services.
		for _, service := range route.Services() {
			if rules[service] == nil {
				rules[service] = map[ids.Name]dispatch.RouteRules{}
			}
			route.Service = service
			rules[service][name] = RouteRules(route)
		}
	}
	return rules
}

// sendChangedRouteRules sends changed route rules to their dispatchers. It must be called before
// the router's configuration is replaced: a dispatcher rejects requests whose rules, as found by
// the router, differ from its own, and the next refresh may be delayed by maxRefreshInterval.
func (c *Control) sendChangedRouteRules() {
	rules := c.routeRulesByService()
	for _, service := range slices.Sorted(maps.Keys(c.view.Services)) {
		if !maps.Equal(rules[service], c.sentRouteRules[service]) {
			c.Emit(DispatchEvent{service, dispatch.RouteRulesUpdated{RouteRules: rules[service]}})
		}
	}
	c.sentRouteRules = rules
}

// runEndedFunc returns a function that reports whether a run of a daemon has ended, according to
// a snapshot of the membership list.
func (c *Control) runEndedFunc() func(ids.DaemonID, ids.RunID) bool {
	members := map[ids.DaemonID]membership.Member{}
	for _, m := range c.All() {
		members[m.ID] = m
	}
	return func(id ids.DaemonID, run ids.RunID) bool {
		m, ok := members[id]
		return ok && (m.Dead || m.RunID != run)
	}
}
