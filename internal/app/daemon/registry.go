package daemon

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/thejerf/suture/v4"

	"dunlinwell/internal/app/api"
	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/base/settings"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/registry"
	"dunlinwell/internal/transport/process"
)

const (
	// registryTick is the interval of a registry's timer, which is the resolution of its
	// timeouts.
	registryTick = 50 * time.Millisecond
	// registryStopGrace is how long a registry keeps answering after SIGTERM. Meanwhile, it
	// announces that it is leaving, and callers switch to another registry.
	registryStopGrace = time.Second
)

// RunRegistry runs a registry until the context is done.
func RunRegistry(ctx context.Context, options RegistryOptions) error {
	d := newRegistryDaemon(options)
	peers, httpListener, err := openListeners(d.transport, options.HTTPListenAddress())
	if err != nil {
		return err
	}
	var stopping atomic.Bool
	handler := d.handler(&stopping)
	services := []suture.Service{d.eventLoop, NewTask("transport", func(ctx context.Context) error { return d.transport.Serve(ctx, peers) })}
	extra, err := d.extraServices()
	if err != nil {
		return err
	}
	serving, end := d.servingContext(ctx)
	defer end()
	return serveUntilStopped(ctx, "registry", d.log, &stopping,
		func() error { return api.Serve(serving, httpListener, handler, httpStopGrace) },
		append(services, extra...)...)
}

// registryDaemon holds a registry's state machine and the components that execute its commands.
type registryDaemon struct {
	options   RegistryOptions
	log       *process.Log
	machine   *registry.Registry
	eventLoop *process.EventLoop
	transport *process.Transport
	server    *api.Server
}

func newRegistryDaemon(options RegistryOptions) *registryDaemon {
	log := process.NewLog(options.LogLevel, options.Name)
	d := &registryDaemon{
		options: options, log: log,
		machine: registry.New(registry.Options{
			Options:      membership.Options{Self: NewMember(options.Common, membership.Registry), Seeds: options.SeedAddresses(), Incremental: options.Incremental},
			PlanInterval: options.PlanInterval, ResolutionLifetime: options.ResolutionLifetime, Regions: options.Regions, Incremental: options.Incremental,
			AlwaysResolve: options.AlwaysResolve, DeriveZoneLevels: options.DeriveZoneLevels, Random: newRandom(),
		}),
		transport: newTransport(options.Common, log),
		server:    &api.Server{Log: log.Event},
	}
	d.eventLoop = process.NewEventLoop(d.machine, registryTick, d.execute)
	d.server.Put = d.eventLoop.Put
	deliverTo(d.transport, d.eventLoop)
	return d
}

// newTransport returns the transport of a registry or store.
func newTransport(options settings.Common, log *process.Log) *process.Transport {
	return &process.Transport{Address: ids.Address(options.Address), Bind: ids.Address(options.Bind), Log: log, Stats: &process.TrafficStats{}}
}

// deliverTo passes the messages that a transport receives to an event loop.
func deliverTo(transport *process.Transport, loop *process.EventLoop) {
	transport.Deliver = func(from ids.Address, msg any) { loop.Offer(event.Received{From: from, Message: msg}) }
}

// execute executes a command of the state machine.
func (d *registryDaemon) execute(command event.Command) {
	if d.transport.Execute(command) {
		return
	}
	if response, ok := command.(registry.Response); ok {
		d.server.HandleResponse(response)
	}
}

// handler returns the handler of the registry's HTTP endpoints.
func (d *registryDaemon) handler(stopping *atomic.Bool) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/v1/", d.server.Handler())
	handleMemberHealth(mux, d.machine.SelfMember, stopping)
	HandleMetrics(mux, func() []Metric {
		out := TrafficMetrics(d.transport.Stats)
		for _, m := range d.server.Status().Metrics() {
			out = append(out, Metric{Name: m.Name, Labels: m.Labels, Values: m.Values, Value: m.Value})
		}
		return out
	})
	return mux
}

// extraServices listens on the addresses of options.ExtraHandlers and returns a service for
// each.
func (d *registryDaemon) extraServices() ([]suture.Service, error) {
	if d.options.ExtraHandlers == nil {
		return nil, nil
	}
	var services []suture.Service
	for address, handler := range d.options.ExtraHandlers(d.server) {
		l, err := api.Listen(address)
		if err != nil {
			return nil, err
		}
		services = append(services, NewTask("http "+address, func(ctx context.Context) error { return api.Serve(ctx, l, handler, httpStopGrace) }))
	}
	return services, nil
}

// servingContext returns the context of the HTTP server, which is canceled
// registryStopGrace after ctx. When ctx is done, the state machine is notified.
func (d *registryDaemon) servingContext(ctx context.Context) (context.Context, context.CancelFunc) {
	serving, end := context.WithCancel(context.Background())
	context.AfterFunc(ctx, func() {
		time.AfterFunc(registryStopGrace, end)
		d.eventLoop.Put(registry.Stopping{})
	})
	return serving, end
}
