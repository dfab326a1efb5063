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
	"dunlinwell/internal/state/configuration"
)

// Frontend is the dialect that a proxy speaks to clients and targets. Ours is
// the first one; a platform that speaks otherwise brings its own.
type Frontend interface {
	// Clients answers clients' requests.
	Clients(d *Daemon) http.Handler
	// TargetProtocol is how requests are put to targets.
	TargetProtocol() TargetProtocol
	// Pages are what is served besides, by address.
	Pages(d *Daemon) map[string]http.Handler
}

type ownEdge struct{ d *Daemon }

func (e ownEdge) Clients(d *Daemon) http.Handler      { return http.HandlerFunc(d.consume) }
func (e ownEdge) TargetProtocol() TargetProtocol      { return house(e) }
func (ownEdge) Pages(*Daemon) map[string]http.Handler { return nil }

// Find gives the route of a host and path, and the configuration it stands in.
func (d *Daemon) Find(host, path string) (configuration.Route, *configuration.View, bool) {
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
func (d *Daemon) Job(r configuration.Route, v *configuration.View) dispatch.Job {
	r.Service = r.SelectService(rand.Float64())
	return dispatch.Job{
		ID: ids.RequestID(d.requests.Add(1)), Route: r.Name, Service: r.Service, Tier: r.Tier*10 + v.Services[r.Service].Tier,
		Repeatable: r.Repeatable, Single: r.WithoutIdempotencyKey, Goal: r.LatencyGoal(), Attempts: r.MaxAttempts, Homes: r.HomeRegions, Terms: Terms(r),
	}
}

// Handled adds a request to the meter: the proxy's own handling, and its
// front-line latency, which leaves the target's time out; forwarded is that time.
func (d *Daemon) Handled(c *ClientRequest, handling, front, forwarded time.Duration) {
	d.meter.handled(c.Job.Route, c.Job.Service, handling, front)
	if d.Options.ByZone {
		// Targets that state no CPU time of their own: their time is what it costs.
		d.meter.spent(c.Job.Route, c.Job.Service, forwarded)
	}
}

// serve serves the daemon's pages and its clients, until the grace after the
// polite signal is over or nothing is under way any more.
func (d *Daemon) serve(ctx context.Context, pages net.Listener) error {
	if d.Options.Clients == "" {
		return api.Serve(ctx, pages, d.pages(true), d.Options.Grace)
	}
	in, err := api.Listen(d.Options.Clients)
	if err != nil {
		return err
	}
	var all sync.WaitGroup
	for at, h := range d.edge.Pages(d) {
		l, err := api.Listen(at)
		if err != nil {
			return err
		}
		all.Go(func() { _ = api.Serve(ctx, l, h, d.Options.Grace) })
	}
	all.Go(func() { _ = api.Serve(ctx, pages, d.pages(false), d.Options.Grace) })
	d.gate = newGate(in, d.edge.Clients(d))
	err = d.gate.serve(ctx, d.Options.Grace)
	all.Wait()
	return err
}
