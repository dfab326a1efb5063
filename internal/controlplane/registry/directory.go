package registry

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/directory"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/spill"
)

const (
	// snapshotLifetime is how long a directory snapshot is reused, as computing the load
	// of every zone for each call would be expensive.
	snapshotLifetime = 50 * time.Millisecond
	// lifetimeWithoutLease limits how long clients may use an answer that was returned
	// without the control lease (Options.AlwaysResolve).
	lifetimeWithoutLease = 500 * time.Millisecond
	// maxProxyLag is how long a proxy may leave pushes unacknowledged before the
	// directory excludes it.
	maxProxyLag = 2 * time.Second
)

// Resolution is the body of the answer to a ResolveCall.
type Resolution struct {
	Zone           ids.Name      `json:"cell"`
	Proxies        []ids.Address `json:"proxies"`
	LifetimeMillis int64         `json:"lifetime_ms"`
	// Moved reports whether the spill plan sent the connection to another zone.
	Moved bool `json:"moved"`
}

// snapshotCache holds the last directory snapshot.
type snapshotCache struct {
	snapshot directory.Snapshot
	key      snapshotKey
	builtAt  ids.Time
}

// snapshotKey identifies the inputs of a snapshot. A change of any of them invalidates it.
type snapshotKey struct {
	revision          ids.Revision
	membershipVersion uint64
	tableEpoch        ids.Epoch
	tableNumber       ids.StreamNumber
}

// handleResolve answers which proxies a new connection should go to.
func (r *Registry) handleResolve(now ids.Time, call ResolveCall) {
	if !r.lease.isHeld(now) && !r.options.AlwaysResolve {
		r.replyUnavailable(call.ID)
		return
	}
	if _, known := r.configuration.view.Routes[call.Route]; !known && call.Host == "" {
		r.replyError(call.ID, http.StatusNotFound, "there is no route "+string(call.Route))
		return
	}
	destination, found := r.directorySnapshot(now).Resolve(call.Zone, r.chooseRoute(call), r.options.Random)
	if !found && r.options.AlwaysResolve {
		destination, found = r.nearestKnownProxies(call.Zone)
	}
	if !found {
		r.replyRetry(call.ID, http.StatusServiceUnavailable, "no proxy takes work now")
		return
	}
	r.reply(call.ID, http.StatusOK, Resolution{
		Zone:           destination.Zone,
		Proxies:        destination.Proxies,
		LifetimeMillis: r.resolutionLifetime(now).Milliseconds(),
		Moved:          destination.Moved,
	})
}

// resolutionLifetime returns how long clients may use a directory answer.
func (r *Registry) resolutionLifetime(now ids.Time) time.Duration {
	if r.lease.isHeld(now) {
		return r.options.ResolutionLifetime
	}
	return min(r.options.ResolutionLifetime, lifetimeWithoutLease)
}

// chooseRoute returns the route that a call is resolved for. For a host, one of its routes
// is chosen at random, weighted by the usage of each in the client's zone.
func (r *Registry) chooseRoute(call ResolveCall) ids.Name {
	if call.Host == "" {
		return call.Route
	}
	all := r.configuration.view.Routes
	var routes []ids.Name
	for _, name := range sortedNames(all) {
		if all[name].Host == call.Host {
			routes = append(routes, name)
		}
	}
	return r.planner.table.PickRoute(call.Zone, routes, r.options.Random.Float64())
}

// directorySnapshot returns the snapshot that directory lookups use, from the cache if it
// is still valid.
func (r *Registry) directorySnapshot(now ids.Time) directory.Snapshot {
	cache := &r.snapshotCache
	key := snapshotKey{
		revision:          r.configuration.view.Revision,
		membershipVersion: r.Version(),
		tableEpoch:        r.planner.table.Epoch,
		tableNumber:       r.planner.table.Number,
	}
	if key != cache.key || now.Sub(cache.builtAt) >= snapshotLifetime {
		*cache = snapshotCache{snapshot: r.buildSnapshot(now), key: key, builtAt: now}
	}
	return cache.snapshot
}

func (r *Registry) buildSnapshot(now ids.Time) directory.Snapshot {
	// Computed on first use, as few calls need the capacity left.
	var zones map[ids.Name]spill.Zone
	capacityLeft := func(name ids.Name) float64 {
		if zones == nil {
			zones = r.currentZones(now)
		}
		zone := zones[name]
		if zone.Stale {
			return 0
		}
		return zone.Target - zone.UsedCPU()
	}
	view := r.configuration.view
	snapshot := directory.Snapshot{
		Proxies:      r.eligibleProxies(now),
		Drained:      map[ids.Name]bool{},
		Distance:     view.Distance,
		Demand:       r.Reports.Demand,
		CapacityLeft: capacityLeft,
	}
	for name, zone := range view.Zones {
		snapshot.Drained[name] = zone.Drained
	}
	if !r.isSpillTableExpired(now) {
		snapshot.Moves = r.planner.table.Moves
	}
	return snapshot
}

// eligibleProxies returns the proxies that directory answers may contain: those that are
// ready and acknowledge this registry's pushes. Incremental registries each push to only
// some of the proxies, and so check readiness alone.
func (r *Registry) eligibleProxies(now ids.Time) []membership.Member {
	var eligible []membership.Member
	for _, proxy := range r.Live(membership.Proxy) {
		if proxy.Ready && (r.options.Incremental || r.Distributor.AcknowledgedWithin(now, proxy, maxProxyLag)) {
			eligible = append(eligible, proxy)
		}
	}
	return eligible
}

// nearestKnownProxies returns the proxies of the nearest zone from the membership list
// alone, preferring members not declared dead. It is the fallback if no proxy is eligible,
// because this registry may be cut off while its client isn't.
func (r *Registry) nearestKnownProxies(zone ids.Name) (directory.Destination, bool) {
	var proxies []membership.Member
	for _, member := range r.All() {
		if member.Role == membership.Proxy {
			proxies = append(proxies, member)
		}
	}
	if len(proxies) == 0 {
		return directory.Destination{}, false
	}
	slices.SortStableFunc(proxies, func(a, b membership.Member) int {
		return cmp.Or(compareBool(a.Dead, b.Dead), r.compareDistance(zone, a.Zone, b.Zone))
	})
	destination := directory.Destination{Zone: proxies[0].Zone}
	for _, proxy := range proxies {
		if proxy.Zone == destination.Zone {
			destination.Proxies = append(destination.Proxies, proxy.ClientAddress())
		}
	}
	return destination, true
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
