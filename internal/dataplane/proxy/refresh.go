package proxy

import (
	"maps"
	"slices"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/dataplane/dispatch"
)

// refreshState says what the dispatchers last received. Computing it anew weighs all
// targets against all proxies, so its rate is bounded: done for each push of a storm
// (many targets found silent at once) in a large fleet, it kept a small machine from
// reading its next messages for seconds, a change of configuration among them.
type refreshState struct {
	lastRefresh ids.Time
	sentState   stateVersion
	// sentServices are the services whose dispatchers were refreshed last.
	sentServices []ids.Name
	// sentRouteRules are the terms of each service's routes that its dispatcher has.
	sentRouteRules map[ids.Name]map[ids.Name]dispatch.RouteTerms
	// unacknowledged are pushes whose contents the dispatchers don't have yet.
	unacknowledged []receivedPush
}

// stateVersion changes whenever anything changes in the state that dispatchers get.
type stateVersion struct {
	targets, members uint64
	revision         ids.Revision
	// confirmed: something was confirmed since the last freeze.
	confirmed bool
	// zoneClosed: this proxy's zone is drained, and no request may be forwarded any more.
	zoneClosed bool
	// unlimitedLeaseStarted is leaseState's.
	unlimitedLeaseStarted bool
	slotHolders           int
}

const (
	// refreshCostPerPair is the time between refreshes that each pair of a target and a proxy
	// adds, so that refreshes take a tenth of a processor core at most (measured:
	// 0.88 µs of a whole core for each pair).
	refreshCostPerPair = 10 * time.Microsecond
	// maxRefreshInterval bounds how long a change may wait for a refresh: well below
	// the time in which it has to be in force (DefaultLease).
	maxRefreshInterval = 400 * time.Millisecond
	// minRefreshInterval is the tick's own interval: a shorter wait would save nothing.
	minRefreshInterval = tickInterval
)

// refreshDispatchers sends each dispatcher the state of its service if anything in it
// has changed, and otherwise only the end of the lease.
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

// mayDelayRefresh tells whether a refresh may wait for a later tick. What says whether
// this proxy serves at all never waits, nor does the first state of a service's dispatcher.
func (c *Control) mayDelayRefresh(now ids.Time, next stateVersion) bool {
	sent := c.sentState
	if c.hasNewService() || sent.confirmed != next.confirmed || sent.zoneClosed != next.zoneClosed || sent.unlimitedLeaseStarted != next.unlimitedLeaseStarted {
		return false
	}
	pairs := c.targets.Len() * next.slotHolders
	interval := min(time.Duration(pairs)*refreshCostPerPair, maxRefreshInterval)
	return c.lastRefresh != 0 && interval >= minRefreshInterval && now.Sub(c.lastRefresh) < interval
}

// hasNewService tells whether there is a service whose dispatcher has no state yet.
func (c *Control) hasNewService() bool {
	for name := range c.view.Services {
		if _, sent := slices.BinarySearch(c.sentServices, name); !sent {
			return true
		}
	}
	return false
}

// sendServiceStates sends every dispatcher the state of its service, in order of name.
func (c *Control) sendServiceStates(now ids.Time, holders []membership.Member) {
	runEnded := c.runEndedFunc()
	allocations := c.allocations(now, holders)
	for _, name := range c.sentServices {
		// The dispatcher of a service that was removed must stop serving it.
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
			IsCurrent:         c.sentState.confirmed || c.Lease == EndlessLease,
			LeaseExpiresAt:    c.leaseEnd(),
			Terms:             c.sentRouteRules[name],
			OwnZoneDrained:    c.sentState.zoneClosed,
			RunEnded:          runEnded,
		}})
	}
}

// routeRulesByService gives the terms of each service's routes, by service and route.
func (c *Control) routeRulesByService() map[ids.Name]map[ids.Name]dispatch.RouteTerms {
	rules := map[ids.Name]map[ids.Name]dispatch.RouteTerms{}
	for name, route := range c.view.Routes {
		// A route that splits its traffic has terms with each of its services.
		for _, service := range route.Services() {
			if rules[service] == nil {
				rules[service] = map[ids.Name]dispatch.RouteTerms{}
			}
			route.Service = service
			rules[service][name] = RouteTerms(route)
		}
	}
	return rules
}

// sendChangedRouteRules sends dispatchers the terms of their routes where these have changed. It goes
// before each change of the router's configuration: a request is rejected if its terms, which
// the router gives it, aren't those that its dispatcher knows, and the next refresh may be
// maxRefreshInterval away.
func (c *Control) sendChangedRouteRules() {
	rules := c.routeRulesByService()
	for _, service := range slices.Sorted(maps.Keys(c.view.Services)) {
		if !maps.Equal(rules[service], c.sentRouteRules[service]) {
			c.Emit(DispatchEvent{service, dispatch.TermsUpdated{Terms: rules[service]}})
		}
	}
	c.sentRouteRules = rules
}

// runEndedFunc returns a function that tells whether a process run is over, by the
// membership list as of now.
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
