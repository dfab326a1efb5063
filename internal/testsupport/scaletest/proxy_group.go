package scaletest

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/http/pprof"
	"time"

	"dunlinwell/internal/app/api"
	"dunlinwell/internal/app/daemon"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/spill"
	"dunlinwell/internal/dataplane/proxy"
	"dunlinwell/internal/transport/process"
)

// ProxyGroupOptions are the flags of a process of hollow proxies.
type ProxyGroupOptions struct {
	First   int      `help:"Number of the first proxy." required:"" name:"first"`
	Count   int      `help:"How many proxies." required:"" name:"count"`
	Zones   int      `help:"Cells of the fleet." required:"" name:"cells"`
	Rows    int      `help:"Routes in each report of CPU time." required:"" name:"rows"`
	Block   int      `help:"Second number of the loopback addresses." required:"" name:"block"`
	Seeds   []string `help:"Addresses of three stores." required:"" name:"seeds"`
	HTTP    string   `help:"Where to answer." name:"http" required:""`
	Thrifty bool     `help:"As proxies with --by-cell, and a lease without end." name:"thrifty"`
}

const (
	// reportInterval is how often each proxy gets a usage sample.
	reportInterval = 2 * time.Second
	// shutdownTimeout bounds how long responses under way may take at the end.
	shutdownTimeout = 100 * time.Millisecond
)

// ProxyGroup is the hollow proxies of one process, with an HTTP server that
// shows their state, metrics and profiles.
type ProxyGroup struct {
	ProxyGroupOptions
	traffic process.TrafficStats
	proxies []*simulatedProxy
}

// NewProxyGroup makes the proxies; Run starts them.
func NewProxyGroup(o ProxyGroupOptions) *ProxyGroup {
	g := &ProxyGroup{ProxyGroupOptions: o}
	var seeds []ids.Address
	for _, s := range o.Seeds {
		seeds = append(seeds, ids.Address(s))
	}
	log := process.NewLog("error", "hollow")
	for n := o.First; n < o.First+o.Count; n++ {
		g.proxies = append(g.proxies, newSimulatedProxy(o, n, seeds, log, &g.traffic))
	}
	return g
}

// Run runs the proxies until the context ends.
func (g *ProxyGroup) Run(ctx context.Context) error {
	supervisor := daemon.NewSupervisor("crew", process.NewLog("warn", "crew"))
	for _, p := range g.proxies {
		listener, err := p.transport.Listen()
		if err != nil {
			return err
		}
		supervisor.Add(p.eventLoop)
		supervisor.Add(daemon.NewTask("post", func(ctx context.Context) error { return p.transport.Serve(ctx, listener) }))
	}
	supervisor.Add(daemon.NewTask("reports", g.reportUsage))
	listener, err := api.Listen(g.HTTP)
	if err != nil {
		return err
	}
	background, cancel := context.WithCancel(ctx)
	defer cancel()
	supervisor.ServeBackground(background)
	return api.Serve(ctx, listener, g.handler(), shutdownTimeout)
}

// handler serves the states, metrics and profiles of the group.
func (g *ProxyGroup) handler() http.Handler {
	mux := http.NewServeMux()
	daemon.HandleMetrics(mux, func() []daemon.Metric { return daemon.TrafficMetrics(&g.traffic) })
	mux.HandleFunc("GET /state", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(g.states())
	})
	// A profile shows which code is behind a slope.
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/heap", pprof.Handler("heap").ServeHTTP)
	return mux
}

// reportUsage hands each proxy a usage sample once per reportInterval, spread
// evenly over it, in place of the samples that requests would give.
func (g *ProxyGroup) reportUsage(ctx context.Context) error {
	ticker := time.NewTicker(reportInterval / time.Duration(g.Count))
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		sample := proxy.UsageSample{Interval: reportInterval, LatencyP95: 3 * time.Millisecond, Requests: 100}
		for i := range g.Rows {
			sample.Rows = append(sample.Rows, spill.ServiceUsage{Route: routeName(i), Service: "service-1", CPU: rand.Float64() * 10})
		}
		g.proxies[n%g.Count].eventLoop.Offer(sample)
	}
}

func (g *ProxyGroup) states() []ProxyState {
	var out []ProxyState
	for _, p := range g.proxies {
		out = append(out, p.state())
	}
	return out
}
