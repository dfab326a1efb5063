package proxy

import (
	"math/rand/v2"
	"net/http"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/dataplane/dispatch"
	"dunlinwell/internal/state/configuration"
	"dunlinwell/internal/transport/process"
)

// Frontend is the protocol that a proxy speaks with clients, and the one that it speaks
// with targets. The native one is used if DaemonOptions names no other.
type Frontend interface {
	// ClientHandler answers clients' requests, by means of FindRoute, NewJob, ReadBody
	// and Dispatch.
	ClientHandler(d *Daemon) http.Handler
	// TargetProtocol is how requests are sent to targets and their responses checked.
	TargetProtocol() TargetProtocol
	// ExtraListeners are further handlers to be served, by listen address.
	ExtraListeners(d *Daemon) map[string]http.Handler
}

// nativeFrontend is this project's own protocol.
type nativeFrontend struct{ d *Daemon }

func (f nativeFrontend) ClientHandler(d *Daemon) http.Handler {
	return http.HandlerFunc(d.handleClientRequest)
}

func (f nativeFrontend) TargetProtocol() TargetProtocol               { return nativeTargetProtocol(f) }
func (nativeFrontend) ExtraListeners(*Daemon) map[string]http.Handler { return nil }

// FindRoute returns the route of a host and path, and the configuration that it is part
// of. The last result is false if there is none.
func (d *Daemon) FindRoute(host, path string) (configuration.Route, *configuration.View, bool) {
	current := d.router.Load()
	route, found := current.find(host, path)
	return route, current.view, found
}

// LeaseValid tells whether requests may be forwarded: configuration and targets were
// confirmed recently enough.
func (d *Daemon) LeaseValid() bool { return d.servingState.Load().LeaseValid }

// ConfigurationAge returns for how long the configuration here may have been out of date: the
// time since the majority read began by which it was last known to be the newest. Whatever
// was accepted before that is in it.
func (d *Daemon) ConfigurationAge() time.Duration {
	return process.Now().Sub(ids.Time(d.configurationConfirmedAt.Load()))
}

// MayHaveUnreadConfiguration tells whether a configuration that has to be in force by now may
// lie unread here: the one in use, of the given age, wasn't confirmed within the bound, and
// messages wait. If none wait there is no newer one: the proxy is cut off, and what its clients
// get here they may get nowhere else.
func (d *Daemon) MayHaveUnreadConfiguration(age, bound time.Duration) bool {
	return age > bound && d.MessageDelay() > maxMessageDelay
}

// MessageDelay returns how long what has arrived here waits at present until it is read and
// carried out.
func (d *Daemon) MessageDelay() time.Duration { return d.delayProbe.delay(process.Now()) }

// Ready tells whether the proxy takes new requests.
func (d *Daemon) Ready() bool { return d.servingState.Load().Ready && !d.stopping.Load() }

// Stopping tells whether the proxy was asked to stop.
func (d *Daemon) Stopping() bool { return d.stopping.Load() }

// tierStep makes a route's tier count before its service's; both are from 0 to 9.
const tierStep = 10

// NewJob returns the job of a new request to a route. If the route splits its traffic,
// the request's service is drawn here, once.
func (d *Daemon) NewJob(route configuration.Route, view *configuration.View) dispatch.Job {
	route.Service = route.SelectService(rand.Float64())
	return dispatch.Job{
		ID:          ids.RequestID(d.lastRequestID.Add(1)),
		Route:       route.Name,
		Service:     route.Service,
		Tier:        route.Tier*tierStep + view.Services[route.Service].Tier,
		Repeatable:  route.Repeatable,
		AtMostOnce:  route.WithoutIdempotencyKey,
		LatencyGoal: route.LatencyGoal(),
		MaxAttempts: route.MaxAttempts,
		HomeRegions: route.HomeRegions,
		Terms:       RouteTerms(route),
	}
}

// RecordUsage adds a finished request to the usage report: the time that the proxy spent
// handling it, the latency that it added (without the target's time), and the time that
// forwarding took.
func (d *Daemon) RecordUsage(request *ClientRequest, handling, latency, forwardTime time.Duration) {
	d.meter.recordRequest(request.Job.Route, request.Job.Service, handling, latency)
	if d.Options.ByZone {
		// There targets state no CPU time of their own, so their time stands for it.
		d.meter.recordTargetTime(request.Job.Route, request.Job.Service, forwardTime)
	}
}
