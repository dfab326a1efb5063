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

// Frontend implements the protocols that a proxy speaks with clients and with targets. The
// native frontend is used if DaemonOptions sets none.
type Frontend interface {
	// ClientHandler returns the handler of client requests, which uses FindRoute, NewJob,
	// ReadBody and Dispatch.
	ClientHandler(d *Daemon) http.Handler
	// TargetProtocol returns the protocol for sending requests to targets and checking
	// their responses.
	TargetProtocol() TargetProtocol
	// ExtraListeners returns additional handlers to serve, by listen address.
	ExtraListeners(d *Daemon) map[string]http.Handler
}

// nativeFrontend implements dunlinwell's own protocol.
type nativeFrontend struct{ d *Daemon }

func (f nativeFrontend) ClientHandler(d *Daemon) http.Handler {
	return http.HandlerFunc(d.handleClientRequest)
}

func (f nativeFrontend) TargetProtocol() TargetProtocol               { return nativeTargetProtocol(f) }
func (nativeFrontend) ExtraListeners(*Daemon) map[string]http.Handler { return nil }

// FindRoute returns the route of a host and path and the configuration that contains it. The
// last result is false if no route matches.
func (d *Daemon) FindRoute(host, path string) (configuration.Route, *configuration.View, bool) {
	current := d.router.Load()
	route, found := current.find(host, path)
	return route, current.view, found
}

// LeaseValid reports whether requests may be forwarded, that is, whether configuration and
// targets were confirmed recently enough.
func (d *Daemon) LeaseValid() bool { return d.servingState.Load().LeaseValid }

// ConfigurationAge returns how long the configuration in use may have been out of date: the
// time since the start of the last quorum read that confirmed it as the newest. It contains
// all changes accepted before that read.
func (d *Daemon) ConfigurationAge() time.Duration {
	return process.Now().Sub(ids.Time(d.configurationConfirmedAt.Load()))
}

// MayHaveUnreadConfiguration reports whether a newer configuration that must already be in
// effect may be waiting unread in this process: the one in use, of the given age, wasn't
// confirmed within the bound, and received messages are delayed. Without such a delay the
// proxy is partitioned from the registries, and keeps serving: its clients may reach no other.
func (d *Daemon) MayHaveUnreadConfiguration(age, bound time.Duration) bool {
	return age > bound && d.MessageDelay() > maxMessageDelay
}

// MessageDelay returns the current delay between the arrival of a message and its processing.
func (d *Daemon) MessageDelay() time.Duration { return d.delayProbe.delay(process.Now()) }

// Ready reports whether the proxy accepts new requests.
func (d *Daemon) Ready() bool { return d.servingState.Load().Ready && !d.stopping.Load() }

// Stopping reports whether the proxy is shutting down.
func (d *Daemon) Stopping() bool { return d.stopping.Load() }

// routeTierFactor gives a route's tier precedence over its service's tier; both range from 0 to 9.
const routeTierFactor = 10

// NewJob returns the job of a new request to a route. If the route splits its traffic, the
// service is selected here, once per request.
func (d *Daemon) NewJob(route configuration.Route, view *configuration.View) dispatch.Job {
	route.Service = route.SelectService(rand.Float64())
	return dispatch.Job{
		ID:          ids.RequestID(d.lastRequestID.Add(1)),
		Route:       route.Name,
		Service:     route.Service,
		Tier:        route.Tier*routeTierFactor + view.Services[route.Service].Tier,
		Repeatable:  route.Repeatable,
		AtMostOnce:  route.WithoutIdempotencyKey,
		LatencyGoal: route.LatencyGoal(),
		MaxAttempts: route.MaxAttempts,
		HomeRegions: route.HomeRegions,
		RouteRules:  RouteRules(route),
	}
}

// RecordUsage adds a finished request to the usage report: the time that the proxy spent
// handling it, the latency that the proxy added (without the target's time), and the time
// spent forwarding.
func (d *Daemon) RecordUsage(request *ClientRequest, handling, latency, forwardTime time.Duration) {
	d.meter.recordRequest(request.Job.Route, request.Job.Service, handling, latency)
	if d.Options.ByZone {
		// With ByZone, targets report no CPU time, so the forwarding time is used.
		d.meter.recordTargetTime(request.Job.Route, request.Job.Service, forwardTime)
	}
}
