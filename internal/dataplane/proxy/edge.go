package proxy

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"dunlinwell/internal/app/api"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/dataplane/dispatch"
	"dunlinwell/internal/state/policy"
)

// Edge is the dialect that a proxy speaks to consumers and targets. Ours is
// the first one; a platform that speaks otherwise brings its own.
type Edge interface {
	// Consumers answers consumers' requests.
	Consumers(d *Daemon) http.Handler
	// TargetProtocol is how requests are put to targets.
	Trade() TargetProtocol
	// Pages are what is served besides, by address.
	Pages(d *Daemon) map[string]http.Handler
}

type ownEdge struct{ d *Daemon }

func (e ownEdge) Consumers(d *Daemon) http.Handler    { return http.HandlerFunc(d.consume) }
func (e ownEdge) Trade() TargetProtocol               { return house(e) }
func (ownEdge) Pages(*Daemon) map[string]http.Handler { return nil }

// Find gives the route of a host and path, and the policy it stands in.
func (d *Daemon) Find(host, path string) (policy.Route, *policy.View, bool) {
	ro := d.router.Load()
	r, ok := ro.find(host, path)
	return r, ro.view, ok
}

// InStep tells whether the proxy knows what is in force.
func (d *Daemon) InStep() bool { return d.footing.Load().InStep }

// Ready tells whether the proxy takes new work.
func (d *Daemon) Ready() bool { return d.footing.Load().Ready && !d.stopping.Load() }

// Stopping tells whether the platform has asked the proxy to stop.
func (d *Daemon) Stopping() bool { return d.stopping.Load() }

// Job begins a request's job by its route; a split is drawn here, once.
func (d *Daemon) Job(r policy.Route, v *policy.View) dispatch.Job {
	r.Service = r.Draw(rand.Float64())
	return dispatch.Job{ID: ids.Request(d.requests.Add(1)), Route: r.Name, Service: r.Service, Tier: r.Tier*10 + v.Services[r.Service].Tier,
		Repeatable: r.Repeatable, Single: r.Single, Goal: r.GoalTime(), Attempts: r.Attempts, Homes: r.Homes, Terms: Terms(r)}
}

// Handled adds a request to the meter: the proxy's own handling, and its
// front-line latency, which leaves the target's time out; forwarded is that time.
func (d *Daemon) Handled(c *ClientRequest, handling, front, ferried time.Duration) {
	d.meter.handled(c.Job.Route, c.Job.Service, handling, front)
	if d.Params.ByCell {
		// Targets that state no CPU time of their own: their time is what it costs.
		d.meter.spent(c.Job.Route, c.Job.Service, ferried)
	}
}

// serve serves the daemon's pages and its consumers, until the grace after the
// polite signal is over or nothing is under way any more.
func (d *Daemon) serve(ctx context.Context, pages net.Listener) error {
	if d.Params.Consumers == "" {
		return api.Serve(ctx, pages, d.pages(true), d.Params.Grace)
	}
	in, err := api.Listen(d.Params.Consumers)
	if err != nil {
		return err
	}
	var all sync.WaitGroup
	for at, h := range d.edge.Pages(d) {
		l, err := api.Listen(at)
		if err != nil {
			return err
		}
		all.Go(func() { _ = api.Serve(ctx, l, h, d.Params.Grace) })
	}
	all.Go(func() { _ = api.Serve(ctx, pages, d.pages(false), d.Params.Grace) })
	d.gate = newGate(in, d.edge.Consumers(d))
	err = d.gate.serve(ctx, d.Params.Grace)
	all.Wait()
	return err
}
