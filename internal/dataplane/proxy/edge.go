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
	// ClientHandler answers clients' requests.
	ClientHandler(d *Daemon) http.Handler
	// TargetProtocol is how requests are put to targets.
	TargetProtocol() TargetProtocol
	// ExtraListeners are what is served besides, by address.
	ExtraListeners(d *Daemon) map[string]http.Handler
}

type nativeFrontend struct{ d *Daemon }

func (f nativeFrontend) ClientHandler(d *Daemon) http.Handler {
	return http.HandlerFunc(d.handleClientRequest)
}
func (f nativeFrontend) TargetProtocol() TargetProtocol               { return nativeTargetProtocol(f) }
func (nativeFrontend) ExtraListeners(*Daemon) map[string]http.Handler { return nil }

// FindRoute gives the route of a host and path, and the configuration it stands in.
func (d *Daemon) FindRoute(host, path string) (configuration.Route, *configuration.View, bool) {
	ro := d.router.Load()
	r, ok := ro.find(host, path)
	return r, ro.view, ok
}

// LeaseValid tells whether the proxy knows what is in force.
func (d *Daemon) LeaseValid() bool { return d.servingState.Load().LeaseValid }

// Ready tells whether the proxy takes new work.
func (d *Daemon) Ready() bool { return d.servingState.Load().Ready && !d.stopping.Load() }

// Stopping tells whether the platform has asked the proxy to stop.
func (d *Daemon) Stopping() bool { return d.stopping.Load() }

// NewJob begins a request's job by its route; a split is drawn here, once.
func (d *Daemon) NewJob(r configuration.Route, v *configuration.View) dispatch.Job {
	r.Service = r.SelectService(rand.Float64())
	return dispatch.Job{
		ID: ids.RequestID(d.lastRequestID.Add(1)), Route: r.Name, Service: r.Service, Tier: r.Tier*10 + v.Services[r.Service].Tier,
		Repeatable: r.Repeatable, AtMostOnce: r.WithoutIdempotencyKey, LatencyGoal: r.LatencyGoal(), MaxAttempts: r.MaxAttempts, Homes: r.HomeRegions, Terms: RouteTerms(r),
	}
}

// RecordUsage adds a request to the meter: the proxy's own handling, and its
// front-line latency, which leaves the target's time out; forwarded is that time.
func (d *Daemon) RecordUsage(c *ClientRequest, handling, front, forwarded time.Duration) {
	d.meter.recordRequest(c.Job.Route, c.Job.Service, handling, front)
	if d.Options.ByZone {
		// Targets that state no CPU time of their own: their time is what it costs.
		d.meter.recordTargetTime(c.Job.Route, c.Job.Service, forwarded)
	}
}

// serveListeners serves the daemon's pages and its clients, until the grace after the
// polite signal is over or nothing is under way any more.
func (d *Daemon) serveListeners(ctx context.Context, pages net.Listener) error {
	if d.Options.ClientListen == "" {
		return api.Serve(ctx, pages, d.handler(true), d.Options.GracePeriod)
	}
	in, err := api.Listen(d.Options.ClientListen)
	if err != nil {
		return err
	}
	var all sync.WaitGroup
	for at, h := range d.frontend.ExtraListeners(d) {
		l, err := api.Listen(at)
		if err != nil {
			return err
		}
		all.Go(func() { _ = api.Serve(ctx, l, h, d.Options.GracePeriod) })
	}
	all.Go(func() { _ = api.Serve(ctx, pages, d.handler(false), d.Options.GracePeriod) })
	d.clientListener = newClientListener(in, d.frontend.ClientHandler(d))
	err = d.clientListener.serve(ctx, d.Options.GracePeriod)
	all.Wait()
	return err
}
