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
	Zone     ids.Name      `json:"cell"`
	Proxies  []ids.Address `json:"proxies"`
	Lifetime int64         `json:"lifetime_ms"`
	Moved    bool          `json:"moved"`
}

func (f *Registry) where(now ids.Time, c ResolveCall) {
	if !f.leased(now) && !f.options.Always {
		f.unavailable(c.ID)
		return
	}
	if _, ok := f.view.Routes[c.Route]; !ok && c.Host == "" {
		f.Emit(Response{ID: c.ID, Status: 404, Body: ErrorResponse{"there is no route " + string(c.Route)}})
		return
	}
	w, ok := f.snapshot(now).Point(c.Zone, f.draw(c), f.options.Random)
	if !ok && f.options.Always {
		w, ok = f.anybody(c.Zone)
	}
	if !ok {
		f.Emit(Response{ID: c.ID, Status: 503, Body: ErrorResponse{"no proxy takes work now"}, RetryAfter: 1})
		return
	}
	f.Emit(Response{ID: c.ID, Status: 200, Body: Resolution{
		Zone: w.Zone, Proxies: w.Proxies,
		Lifetime: f.lifetime(now).Milliseconds(), Moved: w.Moved,
	}})
}

// draw gives the route that an ask stands for. One for a host stands for all of
// its routes, so it is drawn by what each of them uses in the client's zone.
func (f *Registry) draw(c ResolveCall) ids.Name {
	if c.Host == "" {
		return c.Route
	}
	var list []ids.Name
	for _, n := range names(f.view.Routes) {
		if f.view.Routes[n].Host == c.Host {
			list = append(list, n)
		}
	}
	return f.table.Draw(c.Zone, list, f.options.Random.Float64())
}

// anybody names proxies by the roll alone, nearest zones first: a registry that
// hears from none may be the one that is cut off, and its client may not be.
func (f *Registry) anybody(zone ids.Name) (directory.Destination, bool) {
	var list []membership.Member
	for _, m := range f.All() {
		if m.Role == membership.Proxy {
			list = append(list, m)
		}
	}
	slices.SortStableFunc(list, func(a, b membership.Member) int {
		gone := map[bool]int{true: 1}
		return cmp.Or(cmp.Compare(gone[a.Gone], gone[b.Gone]), cmp.Compare(f.view.Distance(zone, a.Zone), f.view.Distance(zone, b.Zone)))
	})
	if len(list) == 0 {
		return directory.Destination{}, false
	}
	w := directory.Destination{Zone: list[0].Zone}
	for _, m := range list {
		if m.Zone == w.Zone {
			w.Proxies = append(w.Proxies, m.ClientAddress())
		}
	}
	return w, true
}

// ready gives the proxies that the directory may name: those in step, and
// known to be by their own acknowledgements.
func (f *Registry) ready(now ids.Time) []membership.Member {
	var out []membership.Member
	for _, m := range f.Live(membership.Proxy) {
		// Where others deliver to it, its own word in the roll must do.
		if m.Ready && (f.options.Incremental || f.Distributor.Fresh(now, m, proxyLag)) {
			out = append(out, m)
		}
	}
	return out
}
