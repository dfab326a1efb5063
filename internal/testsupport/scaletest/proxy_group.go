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

// ProxyGroupOptions are the flags of a process that runs a group of simulated proxies.
type ProxyGroupOptions struct {
	FirstProxy    int      `help:"Index of the first proxy." required:"" name:"first"`
	ProxyCount    int      `help:"Number of proxies." required:"" name:"count"`
	Zones         int      `help:"Number of zones (cells) of the fleet." required:"" name:"cells"`
	UsageRows     int      `help:"Number of routes in each usage report." required:"" name:"rows"`
	LoopbackBlock int      `help:"Second octet of the loopback addresses." required:"" name:"block"`
	Seeds         []string `help:"Addresses of the three voting stores." required:"" name:"seeds"`
	HTTP          string   `help:"Listen address of the HTTP server." name:"http" required:""`
	Thrifty       bool     `help:"Receive deltas of the target table, share slots by zone and use unlimited leases." name:"thrifty"`
}

const (
	// reportInterval is the interval between usage samples of each proxy.
	reportInterval = 2 * time.Second
	// shutdownTimeout limits the wait for HTTP requests in progress at shutdown.
	shutdownTimeout = 100 * time.Millisecond
)

// ProxyGroup runs the simulated proxies of one process, and an HTTP server for their states,
// metrics and profiles.
type ProxyGroup struct {
	ProxyGroupOptions
	traffic process.TrafficStats
	proxies []*simulatedProxy
}

// NewProxyGroup returns a group of proxies, which Run starts.
func NewProxyGroup(o ProxyGroupOptions) *ProxyGroup {
	g := &ProxyGroup{ProxyGroupOptions: o}
	var seeds []ids.Address
	for _, s := range o.Seeds {
		seeds = append(seeds, ids.Address(s))
	}
	log := process.NewLog("error", "hollow")
	for n := o.FirstProxy; n < o.FirstProxy+o.ProxyCount; n++ {
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
		supervisor.Add(daemon.NewTask("transport", func(ctx context.Context) error { return p.transport.Serve(ctx, listener) }))
	}
	supervisor.Add(daemon.NewTask("usage reports", g.reportUsage))
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
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/heap", pprof.Handler("heap").ServeHTTP)
	return mux
}

// reportUsage sends each proxy a synthetic usage sample once per reportInterval, because there are
// no requests to sample. The samples are spread evenly over the interval.
func (g *ProxyGroup) reportUsage(ctx context.Context) error {
	ticker := time.NewTicker(reportInterval / time.Duration(g.ProxyCount))
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		sample := proxy.UsageSample{Interval: reportInterval, LatencyP95: 3 * time.Millisecond, Requests: 100}
		for i := range g.UsageRows {
			sample.Rows = append(sample.Rows, spill.ServiceUsage{Route: routeName(i), Service: "service-1", CPU: rand.Float64() * 10})
		}
		g.proxies[n%g.ProxyCount].eventLoop.Offer(sample)
	}
}

func (g *ProxyGroup) states() []ProxyState {
	var out []ProxyState
	for _, p := range g.proxies {
		out = append(out, p.state())
	}
	return out
}
