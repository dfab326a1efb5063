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

// shell is one proxy without its pages, dispatchers and connections to targets.
type shell struct {
	control *proxy.Control
	owner   *process.Owner
	post    *process.Transport
	mu      sync.Mutex
	standing
	// stock is what its dispatchers would hold.
	stock map[ids.Name]dispatch.ServiceState
}

// standing is what is known of a proxy from outside.
type standing struct {
	ready, inStep bool
	revision      ids.Revision
	// adopted and stood are when the configuration and the footing last changed.
	adopted, stood time.Time
}

// ProxyGroup is many hollow proxies.
type ProxyGroup struct {
	ProxyGroupOptions
	tally  process.TrafficStats
	shells []*shell
}

const (
	wirePort    = 7401
	pagesPort   = 7400
	beat        = 50 * time.Millisecond
	reportEvery = 2 * time.Second
)

// proxyAt is the address of the nth proxy.
func proxyAt(block, n int) ids.Address {
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
		at := proxyAt(p.Block, n)
		self := membership.Member{
			ID: ids.DaemonID(fmt.Sprintf("proxy-%d", n+1)), Role: membership.Proxy, Address: at, HTTP: at,
			Zone: size.Zone(n), RunID: ids.RunID(rand.Uint64()>>24 | 1), Incarnation: ids.Incarnation(time.Now().UnixMilli()),
		}
		o := proxy.ControlOptions{}
		if p.Thrifty {
			o = proxy.ControlOptions{Lease: proxy.EndlessLease, SlotLayout: proxy.SlotLayout{ByZone: true}}
		}
		s := &shell{control: proxy.New(membership.Options{Self: self, Seeds: seeds, Incremental: p.Thrifty}, o), stock: map[ids.Name]dispatch.ServiceState{}}
		s.post = &process.Transport{
			Address: at, Log: log, Stats: &c.tally,
			Deliver: func(from ids.Address, msg any) { s.owner.Offer(event.Received{From: from, Msg: msg}) },
		}
		s.owner = process.NewOwner(s.control, beat, s.do)
		c.shells = append(c.shells, s)
	}
	return c
}

// do carries out a command as a proxy does, up to where requests begin.
func (s *shell) do(c event.Command) {
	switch c := c.(type) {
	case event.Send:
		s.post.Send(c.To, c.Msg)
	case proxy.DispatchEvent:
		if stock, ok := c.Event.(dispatch.ServiceState); ok {
			s.stock[c.Service] = stock
		}
	case proxy.UpdateRoutes:
		s.mu.Lock()
		s.revision, s.adopted = c.View.Revision, time.Now()
		s.mu.Unlock()
	case proxy.ServingState:
		s.mu.Lock()
		if s.ready != c.Ready || s.inStep != c.LeaseValid {
			s.stood = time.Now()
		}
		s.ready, s.inStep = c.Ready, c.LeaseValid
		s.mu.Unlock()
	}
}

// Run runs them until the context ends.
func (c *ProxyGroup) Run(ctx context.Context) error {
	sup := daemon.NewSupervisor("crew", process.NewLog("warn", "crew"))
	for _, s := range c.shells {
		l, err := s.post.Listen()
		if err != nil {
			return err
		}
		sup.Add(s.owner)
		sup.Add(daemon.NewTask("post", func(x context.Context) error { return s.post.Serve(x, l) }))
	}
	sup.Add(daemon.NewTask("reports", c.report))
	pages, err := api.Listen(c.HTTP)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	daemon.HandleMetrics(mux, func() []daemon.Metric { return daemon.TrafficMetrics(&c.tally) })
	mux.HandleFunc("GET /state", func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(rw).Encode(c.state())
	})
	// What the proxies spend their time on names the mechanism behind a slope.
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/heap", pprof.Handler("heap").ServeHTTP)
	life, end := context.WithCancel(ctx)
	defer end()
	sup.ServeBackground(life)
	return api.Serve(ctx, pages, mux, 100*time.Millisecond)
}

// report hands each proxy, in turn over the interval, what its requests
// would have cost.
func (c *ProxyGroup) report(ctx context.Context) error {
	t := time.NewTicker(reportEvery / time.Duration(c.Count))
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
		m := proxy.UsageSample{Interval: reportEvery, LatencyP95: 3 * time.Millisecond, Requests: 100}
		for i := range c.Rows {
			m.Rows = append(m.Rows, spill.ServiceUsage{Route: ids.Name(fmt.Sprintf("route-%d", i+1)), Service: "service-1", CPU: rand.Float64() * 10})
		}
		c.shells[n%c.Count].owner.Offer(m)
	}
}

// Stand is how one proxy stands.
type Stand struct {
	Ready    bool  `json:"ready"`
	InStep   bool  `json:"in_step"`
	Revision int64 `json:"revision"`
	// Adopted and Stood are wall times in ns, of this one machine.
	Adopted int64 `json:"adopted"`
	Stood   int64 `json:"stood"`
}

func (c *ProxyGroup) state() []Stand {
	var out []Stand
	for _, s := range c.shells {
		s.mu.Lock()
		out = append(out, Stand{s.ready, s.inStep, int64(s.revision), s.adopted.UnixNano(), s.stood.UnixNano()})
		s.mu.Unlock()
	}
	return out
}
