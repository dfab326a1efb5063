package proxy

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/dataplane/dispatch"
	"dunlinwell/internal/state/configuration"
)

func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }

func (c *Control) tick(now ids.Time) {
	// A gap between clock events is a freeze: until a registry has spoken since,
	// nothing that this proxy knows can be trusted.
	if c.lastTick != 0 && now.Sub(c.lastTick) > freezeThreshold {
		c.resumedAt = now
		c.Log(event.LevelWarn, "woke", "gap_ms", formatUint(uint64(now.Sub(c.lastTick)/time.Millisecond)))
	}
	c.lastTick = now
	c.List.Tick(now)
	c.Client.Tick(now)
	// A registry that died may have been the only one to know of a silence.
	if !c.ByZone {
		c.targets.ExpireSilent(now)
	}
	c.targets.Forget(now, time.Hour)
	c.queryStores(now)
	c.requestLease(now)
	c.UpdateSelf(c.ready(now), c.view.Revision)
	c.refreshDispatchers(now)
	c.publishServingState(now)
}

// leaseValid tells whether the proxy may let requests leave: all that it goes by
// was confirmed since it last woke, and of late.
func (c *Control) leaseValid(now ids.Time) bool { return now < c.leaseEnd() }

// ready tells whether the directory may send clients here: in step, and not
// about to fall out of it.
func (c *Control) ready(now ids.Time) bool {
	if c.Lease == EndlessLease {
		return !c.stopping && c.leaseValid(now)
	}
	return !c.stopping && c.leaseValid(now) && !c.cutOff(now) && now.Sub(c.confirmedAt()) < maxConfirmationAge
}

// announceStop tells every registry at once, so that the directory sends nobody here
// while the requests in hand are finished.
func (c *Control) announceStop() {
	c.stopping = true
	c.UpdateSelf(false, c.view.Revision)
	for _, f := range c.Live(membership.Registry) {
		c.Send(f.Address, membership.Snapshot{Members: []membership.Member{c.Self}, Final: true})
	}
}

func (c *Control) cutOff(now ids.Time) bool {
	after := cutOffTimeout
	if c.ByZone {
		// Registries say a word a second to those that nothing is new for.
		after = 2 * cutOffTimeout
	}
	return c.targetsConfirmedAt != 0 && now.Sub(c.targetsConfirmedAt) > after
}

// publishServingState tells the rest of the process how the proxy stands.
func (c *Control) publishServingState(now ids.Time) {
	f := ServingState{Ready: c.ready(now), LeaseValid: c.leaseValid(now), CutOff: c.cutOff(now), ZoneDrained: c.drainedSince != 0}
	if f.Ready == c.servingState.Ready && f.CutOff == c.servingState.CutOff && f.ZoneDrained == c.servingState.ZoneDrained && f.LeaseValid == c.servingState.LeaseValid && c.sentMembersVersion == c.Version() {
		return
	}
	if f.CutOff != c.servingState.CutOff || f.Ready != c.servingState.Ready {
		c.Log(event.LevelInfo, "footing", "ready", strconv.FormatBool(f.Ready), "cut_off", strconv.FormatBool(f.CutOff))
	}
	f.Members = c.All()
	c.servingState, c.sentMembersVersion = f, c.Version()
	c.Emit(f)
}

// restock hands each dispatcher its stock anew if anything in it has changed.
func (c *Control) refreshDispatchers(now ids.Time) {
	c.startServing(now)
	seats := c.slotHolders(now)
	s := stateVersion{c.targets.Version(), c.Version(), c.view.Revision, c.confirmedAt() > c.resumedAt, c.drainedSince != 0 && (c.drainedLate || now.Sub(c.drainedSince) >= zoneDrainDelay), c.serving, len(seats)}
	if s == c.sentState {
		c.renewLease()
		c.acknowledge(now)
		return
	}
	if c.mayDelayRefresh(now, s) {
		return
	}
	c.lastRefresh = now
	c.sentState, c.sentConfirmedAt = s, c.confirmedAt()
	defer c.acknowledge(now)
	ended := c.endedRuns()
	by := map[ids.Name][]dispatch.Allocation{}
	clear(c.proximities)
	for _, t := range c.targets.All(now) {
		o := c.offerOf(now, t, seats)
		// In a large fleet most targets are others' to use.
		if !c.ByZone || hasSlots(o, c.view.Services[t.Service].DefaultCapacity) {
			by[t.Service] = append(by[t.Service], o)
		}
	}
	terms := c.routeTerms()
	for _, n := range c.sentServices {
		// A service that is gone leaves no dispatcher behind that still serves it.
		if _, ok := c.view.Services[n]; !ok {
			c.Emit(DispatchEvent{n, dispatch.ServiceState{}})
		}
	}
	c.sentServices = slices.Sorted(maps.Keys(c.view.Services))
	for _, n := range c.sentServices {
		sv := c.view.Services[n]
		c.Emit(DispatchEvent{n, dispatch.ServiceState{
			Targets: by[n], DefaultCapacity: sv.DefaultCapacity, SlowStartDuration: time.Duration(sv.SlowStartMillis) * time.Millisecond,
			RetryBudget: c.retryBudget(sv, seats), IsCurrent: s.confirmed || c.Lease == EndlessLease, LeaseExpiresAt: c.leaseEnd(), Terms: terms[n], OwnZoneDrained: s.closed, RunEnded: ended,
		}})
	}
}

// routeTerms gives what each service's routes say.
func (c *Control) routeTerms() map[ids.Name]map[ids.Name]dispatch.RouteTerms {
	out := map[ids.Name]map[ids.Name]dispatch.RouteTerms{}
	for n, r := range c.view.Routes {
		// Each service of a split has terms of its own.
		for _, s := range r.Services() {
			if out[s] == nil {
				out[s] = map[ids.Name]dispatch.RouteTerms{}
			}
			r.Service = s
			out[s][n] = RouteTerms(r)
		}
	}
	return out
}

// RouteTerms are what a route says of its requests.
func RouteTerms(r configuration.Route) dispatch.RouteTerms {
	return dispatch.RouteTerms{Host: r.Host, Prefix: r.Prefix, Service: r.Service, Repeatable: r.Repeatable, TimeLimit: r.Timeout()}
}

// retryBudget is this proxy's part of a service's retry allowance. Parts are
// whole, as places are, and add up to it: half a retry is of no use to anybody.
func (c *Control) retryBudget(s configuration.Service, seats []membership.Member) float64 {
	n, at := max(len(seats), 1), c.rendezvousRank("retries/"+string(s.Name), seats)
	return float64(s.RetryBudget*(at+1)/n - s.RetryBudget*at/n)
}

// lostProxyHoldTime is how long a lost proxy's places stay its own: it may be cut off
// from us and still use them, until it finds out and halves its share.
const lostProxyHoldTime = 3 * time.Second

// slotHolders gives the proxies among whom places and retries are divided.
func (c *Control) slotHolders(now ids.Time) []membership.Member {
	var out []membership.Member
	for _, m := range c.All() {
		if m.Role != membership.Proxy {
			continue
		}
		if !m.Gone {
			c.proxyLastSeen[m.ID] = now
		}
		if at, ok := c.proxyLastSeen[m.ID]; ok && now.Sub(at) < lostProxyHoldTime {
			out = append(out, m)
		}
	}
	return out
}

// endedRuns gives a look-up of runs that are over, as the roll stands now.
func (c *Control) endedRuns() func(ids.DaemonID, ids.RunID) bool {
	runs := map[ids.DaemonID]membership.Member{}
	for _, m := range c.All() {
		runs[m.ID] = m
	}
	return func(id ids.DaemonID, s ids.RunID) bool {
		m, ok := runs[id]
		return ok && (m.Gone || m.RunID != s)
	}
}

// MaySend is the last look before the first byte of a request: time is left,
// and this process was not asleep since its owner last stepped.
func MaySend(now, due, beat ids.Time) bool {
	return now < due && now.Sub(beat) <= freezeThreshold
}
