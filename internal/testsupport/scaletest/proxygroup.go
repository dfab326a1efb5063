package scaletest

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/pprof"
	"sync"
	"time"

	"dunlinwell/internal/app/api"
	"dunlinwell/internal/app/daemon"
	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/spill"
	"dunlinwell/internal/dataplane/dispatch"
	"dunlinwell/internal/dataplane/proxy"
	"dunlinwell/internal/transport/process"
)

// CrewOptions are what a process of hollow proxies is told.
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

// hollowProxy is one proxy without its pages, dispatchers and connections to targets.
type hollowProxy struct {
	control   *proxy.Control
	owner     *process.Owner
	transport *process.Transport
	mu        sync.Mutex
	proxyStatus
	// serviceStates is what its dispatchers would hold.
	serviceStates map[ids.Name]dispatch.ServiceState
}

// proxyStatus is what is known of a proxy from outside.
type proxyStatus struct {
	ready, leaseValid bool
	revision          ids.Revision
	// configurationChangedAt and stood are when the configuration and the footing last changed.
	configurationChangedAt, servingStateChangedAt time.Time
}

// ProxyGroup is many hollow proxies.
type ProxyGroup struct {
	ProxyGroupOptions
	traffic process.TrafficStats
	proxies []*hollowProxy
}

const (
	wirePort       = 7401
	httpPort       = 7400
	tickInterval   = 50 * time.Millisecond
	reportInterval = 2 * time.Second
)

// proxyAddress is the address of the nth proxy.
func proxyAddress(block, n int) ids.Address {
	return ids.Address(fmt.Sprintf("127.%d.%d.%d:%d", block, 10+n/200, n%200+1, wirePort))
}

// NewCrew makes proxies that know only themselves and their seeds.
func NewProxyGroup(p ProxyGroupOptions) *ProxyGroup {
	c := &ProxyGroup{ProxyGroupOptions: p}
	size := Size{Zones: p.Zones, Regions: 1}
	var seeds []ids.Address
	for _, s := range p.Seeds {
		seeds = append(seeds, ids.Address(s))
	}
	log := process.NewLog("error", "hollow")
	for n := p.First; n < p.First+p.Count; n++ {
		at := proxyAddress(p.Block, n)
		self := membership.Member{
			ID: ids.DaemonID(fmt.Sprintf("proxy-%d", n+1)), Role: membership.Proxy, Address: at, HTTP: at,
			Zone: size.Zone(n), RunID: ids.RunID(rand.Uint64()>>24 | 1), Incarnation: ids.Incarnation(time.Now().UnixMilli()),
		}
		o := proxy.ControlOptions{}
		if p.Thrifty {
			o = proxy.ControlOptions{Lease: proxy.EndlessLease, SlotLayout: proxy.SlotLayout{ByZone: true}}
		}
		s := &hollowProxy{control: proxy.New(membership.Options{Self: self, Seeds: seeds, Incremental: p.Thrifty}, o), serviceStates: map[ids.Name]dispatch.ServiceState{}}
		s.transport = &process.Transport{
			Address: at, Log: log, Stats: &c.traffic,
			Deliver: func(from ids.Address, msg any) { s.owner.Offer(event.Received{From: from, Msg: msg}) },
		}
		s.owner = process.NewOwner(s.control, tickInterval, s.execute)
		c.proxies = append(c.proxies, s)
	}
	return c
}

// execute carries out a command as a proxy does, up to where requests begin.
func (h *hollowProxy) execute(c event.Command) {
	switch c := c.(type) {
	case event.Send:
		h.transport.Send(c.To, c.Msg)
	case proxy.DispatchEvent:
		if stock, ok := c.Event.(dispatch.ServiceState); ok {
			h.serviceStates[c.Service] = stock
		}
	case proxy.UpdateRoutes:
		h.mu.Lock()
		h.revision, h.configurationChangedAt = c.View.Revision, time.Now()
		h.mu.Unlock()
	case proxy.ServingState:
		h.mu.Lock()
		if h.ready != c.Ready || h.leaseValid != c.LeaseValid {
			h.servingStateChangedAt = time.Now()
		}
		h.ready, h.leaseValid = c.Ready, c.LeaseValid
		h.mu.Unlock()
	}
}

// Run runs them until the context ends.
func (g *ProxyGroup) Run(ctx context.Context) error {
	sup := daemon.NewSupervisor("crew", process.NewLog("warn", "crew"))
	for _, s := range g.proxies {
		l, err := s.transport.Listen()
		if err != nil {
			return err
		}
		sup.Add(s.owner)
		sup.Add(daemon.NewTask("post", func(x context.Context) error { return s.transport.Serve(x, l) }))
	}
	sup.Add(daemon.NewTask("reports", g.reportUsage))
	pages, err := api.Listen(g.HTTP)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	daemon.HandleMetrics(mux, func() []daemon.Metric { return daemon.TrafficMetrics(&g.traffic) })
	mux.HandleFunc("GET /state", func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(rw).Encode(g.states())
	})
	// What the proxies spend their time on names the mechanism behind a slope.
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/heap", pprof.Handler("heap").ServeHTTP)
	life, end := context.WithCancel(ctx)
	defer end()
	sup.ServeBackground(life)
	return api.Serve(ctx, pages, mux, 100*time.Millisecond)
}

// reportUsage hands each proxy, in turn over the interval, what its requests
// would have cost.
func (g *ProxyGroup) reportUsage(ctx context.Context) error {
	t := time.NewTicker(reportInterval / time.Duration(g.Count))
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
		m := proxy.UsageSample{Interval: reportInterval, LatencyP95: 3 * time.Millisecond, Requests: 100}
		for i := range g.Rows {
			m.Rows = append(m.Rows, spill.ServiceUsage{Route: ids.Name(fmt.Sprintf("route-%d", i+1)), Service: "service-1", CPU: rand.Float64() * 10})
		}
		g.proxies[n%g.Count].owner.Offer(m)
	}
}

// ProxyState is how one proxy stands.
type ProxyState struct {
	Ready      bool  `json:"ready"`
	LeaseValid bool  `json:"in_step"`
	Revision   int64 `json:"revision"`
	// ConfigurationChangedAt and Stood are wall times in ns, of this one machine.
	ConfigurationChangedAt int64 `json:"adopted"`
	ServingStateChangedAt  int64 `json:"stood"`
}

func (g *ProxyGroup) states() []ProxyState {
	var out []ProxyState
	for _, s := range g.proxies {
		s.mu.Lock()
		out = append(out, ProxyState{s.ready, s.leaseValid, int64(s.revision), s.configurationChangedAt.UnixNano(), s.servingStateChangedAt.UnixNano()})
		s.mu.Unlock()
	}
	return out
}
