package registry

import (
	"cmp"
	"slices"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/directory"
	"dunlinwell/internal/controlplane/membership"
)

// Where is the body of an answer to "where do I go".
type Resolution struct {
	Zone           ids.Name      `json:"cell"`
	Proxies        []ids.Address `json:"proxies"`
	LifetimeMillis int64         `json:"lifetime_ms"`
	Moved          bool          `json:"moved"`
}

func (r *Registry) handleResolve(now ids.Time, call ResolveCall) {
	if !r.hasLease(now) && !r.options.AlwaysAnswer {
		r.replyUnavailable(call.ID)
		return
	}
	if _, ok := r.view.Routes[call.Route]; !ok && call.Host == "" {
		r.Emit(Response{ID: call.ID, Status: 404, Body: ErrorResponse{"there is no route " + string(call.Route)}})
		return
	}
	destination, ok := r.directorySnapshot(now).Resolve(call.Zone, r.chooseRoute(call), r.options.Random)
	if !ok && r.options.AlwaysAnswer {
		destination, ok = r.nearestKnownProxies(call.Zone)
	}
	if !ok {
		r.Emit(Response{ID: call.ID, Status: 503, Body: ErrorResponse{"no proxy takes work now"}, RetryAfter: 1})
		return
	}
	r.Emit(Response{ID: call.ID, Status: 200, Body: Resolution{
		Zone: destination.Zone, Proxies: destination.Proxies,
		LifetimeMillis: r.resolutionLifetime(now).Milliseconds(), Moved: destination.Moved,
	}})
}

// chooseRoute gives the route that an ask stands for. One for a host stands for all of
// its routes, so it is drawn by what each of them uses in the client's zone.
func (r *Registry) chooseRoute(call ResolveCall) ids.Name {
	if call.Host == "" {
		return call.Route
	}
	var routes []ids.Name
	for _, n := range sortedNames(r.view.Routes) {
		if r.view.Routes[n].Host == call.Host {
			routes = append(routes, n)
		}
	}
	return r.spillTable.PickRoute(call.Zone, routes, r.options.Random.Float64())
}

// nearestKnownProxies names proxies by the roll alone, nearest zones first: a registry that
// hears from none may be the one that is cut off, and its client may not be.
func (r *Registry) nearestKnownProxies(zone ids.Name) (directory.Destination, bool) {
	var proxies []membership.Member
	for _, m := range r.All() {
		if m.Role == membership.Proxy {
			proxies = append(proxies, m)
		}
	}
	slices.SortStableFunc(proxies, func(a, b membership.Member) int {
		gone := map[bool]int{true: 1}
		return cmp.Or(cmp.Compare(gone[a.Gone], gone[b.Gone]), cmp.Compare(r.view.Distance(zone, a.Zone), r.view.Distance(zone, b.Zone)))
	})
	if len(proxies) == 0 {
		return directory.Destination{}, false
	}
	destination := directory.Destination{Zone: proxies[0].Zone}
	for _, m := range proxies {
		if m.Zone == destination.Zone {
			destination.Proxies = append(destination.Proxies, m.ClientAddress())
		}
	}
	return destination, true
}

// eligibleProxies gives the proxies that the directory may name: those in step, and
// known to be by their own acknowledgements.
func (r *Registry) eligibleProxies(now ids.Time) []membership.Member {
	var out []membership.Member
	for _, m := range r.Live(membership.Proxy) {
		// Where others deliver to it, its own word in the roll must do.
		if m.Ready && (r.options.Incremental || r.Distributor.AcknowledgedWithin(now, m, maxProxyLag)) {
			out = append(out, m)
		}
	}
	return out
}
