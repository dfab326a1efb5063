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
	PlanEvery time.Duration `help:"How often the spill is planned." default:"30s" name:"plan-every"`
	Lifetime  time.Duration `help:"How long an answer of the directory may be trusted, 3s at most." default:"2s" name:"lifetime"`
	Thrifty   bool          `help:"Tell only of what changes, and each proxy by two registries alone; the same on all core daemons." name:"thrifty"`
	// Options that a platform's own start sets.
	Regions        map[ids.Name]string `kong:"-"`
	Always, Derive bool                `kong:"-"`
	// Edge gives what is served besides our own pages, by address.
	Edge func(w *api.Server) map[string]http.Handler `kong:"-"`
}

// registryStops is how long a registry sends callers on after the polite signal.
const registryStops = time.Second

// Validate checks what the common options don't cover.
func (p *RegistryOptions) Validate() error {
	if p.Lifetime <= 0 || p.Lifetime > 3*time.Second {
		return &StartError{errorf("--lifetime: must be over 0 and at most 3s")}
	}
	if p.PlanEvery < time.Second {
		return &StartError{errorf("--plan-every: must be at least 1s")}
	}
	return p.Common.Validate()
}

// RunForeman runs a registry until the context ends.
func RunRegistry(ctx context.Context, p RegistryOptions) error {
	log := process.NewLog(p.Log, p.Name)
	m := registry.New(registry.Options{
		Options:   membership.Options{Self: Self(p.Common, membership.Registry), Seeds: p.SeedList(), Incremental: p.Thrifty},
		PlanEvery: p.PlanEvery, Lifetime: p.Lifetime, Regions: p.Regions, Incremental: p.Thrifty, Always: p.Always, Derive: p.Derive, Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	post := &process.Transport{Address: ids.Address(p.Address), Bind: ids.Address(p.Bind), Log: log, Stats: &process.TrafficStats{}}
	win := &api.Server{Log: log.Event}
	owner := process.NewOwner(m, 50*time.Millisecond, func(c event.Command) {
		switch c := c.(type) {
		case event.Send:
			post.Send(c.To, c.Msg)
		case event.LogEntry:
			log.Note(c)
		case event.Discarded:
			post.Discard(c)
		case registry.Response:
			win.Responded(c)
		}
	})
	post.Deliver = func(from ids.Address, msg any) { owner.Offer(event.Received{From: from, Msg: msg}) }
	win.Put = owner.Put
	wire, pages, err := ports(post, p.Pages())
	if err != nil {
		return err
	}
	var stopping atomic.Bool
	mux := http.NewServeMux()
	mux.Handle("/v1/", win.Handler())
	rollHealth(mux, m.SelfMember, &stopping)
	Metrics(mux, func() []Gauge {
		out := TrafficGauges(post.Stats)
		for _, f := range win.Status().Metrics() {
			out = append(out, Gauge{Name: f.Name, Labels: f.Labels, Values: f.Values, Value: f.Value})
		}
		return out
	})
	tasks := []suture.Service{owner, Task("post", func(c context.Context) error { return post.Serve(c, wire) })}
	if p.Edge != nil {
		for at, h := range p.Edge(win) {
			l, err := api.Listen(at)
			if err != nil {
				return err
			}
			tasks = append(tasks, Task("pages "+at, func(c context.Context) error { return api.Serve(c, l, h, 300*time.Millisecond) }))
		}
	}
	// What is under way is finished, and callers are sent on meanwhile.
	serving, end := context.WithCancel(context.Background())
	defer end()
	context.AfterFunc(ctx, func() {
		time.AfterFunc(registryStops, end)
		owner.Put(registry.Stopping{})
	})
	return live(ctx, "registry", log, &stopping, func() error { return api.Serve(serving, pages, mux, leavePages) },
		tasks...)
}
