package daemon

import (
	"context"
	"math/rand/v2"
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

// ForemanOptions are what a registry is told at its start.
type RegistryOptions struct {
	settings.Common
	PlanEvery          time.Duration `help:"How often the spill is planned." default:"30s" name:"plan-every"`
	ResolutionLifetime time.Duration `help:"How long an answer of the directory may be trusted, 3s at most." default:"2s" name:"lifetime"`
	Incremental        bool          `help:"Tell only of what changes, and each proxy by two registries alone; the same on all core daemons." name:"thrifty"`
	// Options that a platform's own start sets.
	Regions                        map[ids.Name]string `kong:"-"`
	AlwaysResolve, DeriveSetPoints bool                `kong:"-"`
	// ExtraHandlers gives what is served besides our own pages, by address.
	ExtraHandlers func(w *api.Server) map[string]http.Handler `kong:"-"`
}

// registryStopGrace is how long a registry sends callers on after the polite signal.
const registryStopGrace = time.Second

// Validate checks what the common options don't cover.
func (o *RegistryOptions) Validate() error {
	if o.ResolutionLifetime <= 0 || o.ResolutionLifetime > 3*time.Second {
		return &StartError{errorf("--lifetime: must be over 0 and at most 3s")}
	}
	if o.PlanEvery < time.Second {
		return &StartError{errorf("--plan-every: must be at least 1s")}
	}
	return o.Common.Validate()
}

// RunForeman runs a registry until the context ends.
func RunRegistry(ctx context.Context, options RegistryOptions) error {
	log := process.NewLog(options.LogLevel, options.Name)
	machine := registry.New(registry.Options{
		Options:   membership.Options{Self: NewMember(options.Common, membership.Registry), Seeds: options.SeedAddresses(), Incremental: options.Incremental},
		PlanEvery: options.PlanEvery, Lifetime: options.ResolutionLifetime, Regions: options.Regions, Incremental: options.Incremental, AlwaysAnswer: options.AlwaysResolve, DeriveLevels: options.DeriveSetPoints, Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	transport := &process.Transport{Address: ids.Address(options.Address), Bind: ids.Address(options.Bind), Log: log, Stats: &process.TrafficStats{}}
	server := &api.Server{Log: log.Event}
	owner := process.NewOwner(machine, 50*time.Millisecond, func(c event.Command) {
		switch c := c.(type) {
		case event.Send:
			transport.Send(c.To, c.Msg)
		case event.LogEntry:
			log.WriteEntry(c)
		case event.Discarded:
			transport.Discard(c)
		case registry.Response:
			server.HandleResponse(c)
		}
	})
	transport.Deliver = func(from ids.Address, msg any) { owner.Offer(event.Received{From: from, Msg: msg}) }
	server.Put = owner.Put
	peerListener, httpListener, err := openListeners(transport, options.HTTPListenAddress())
	if err != nil {
		return err
	}
	var stopping atomic.Bool
	mux := http.NewServeMux()
	mux.Handle("/v1/", server.Handler())
	handleMemberHealth(mux, machine.SelfMember, &stopping)
	HandleMetrics(mux, func() []Metric {
		out := TrafficMetrics(transport.Stats)
		for _, f := range server.Status().Metrics() {
			out = append(out, Metric{Name: f.Name, Labels: f.Labels, Values: f.Values, Value: f.Value})
		}
		return out
	})
	tasks := []suture.Service{owner, NewTask("post", func(c context.Context) error { return transport.Serve(c, peerListener) })}
	if options.ExtraHandlers != nil {
		for at, h := range options.ExtraHandlers(server) {
			l, err := api.Listen(at)
			if err != nil {
				return err
			}
			tasks = append(tasks, NewTask("pages "+at, func(c context.Context) error { return api.Serve(c, l, h, 300*time.Millisecond) }))
		}
	}
	// What is under way is finished, and callers are sent on meanwhile.
	serving, end := context.WithCancel(context.Background())
	defer end()
	context.AfterFunc(ctx, func() {
		time.AfterFunc(registryStopGrace, end)
		owner.Put(registry.Stopping{})
	})
	return serveUntilStopped(ctx, "registry", log, &stopping, func() error { return api.Serve(serving, httpListener, mux, httpStopGrace) },
		tasks...)
}
