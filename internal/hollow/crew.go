package hollow

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/pprof"
	"sync"
	"time"

	"dunlinwell/internal/counter"
	"dunlinwell/internal/desk"
	"dunlinwell/internal/haulage"
	"dunlinwell/internal/hoist"
	"dunlinwell/internal/premises"
	"dunlinwell/internal/rollcall"
	"dunlinwell/internal/ticket"
	"dunlinwell/internal/window"
	"dunlinwell/internal/works"
)

// CrewParams are what a process of hollow counters is told.
type CrewParams struct {
	First   int      `help:"Number of the first counter." required:""`
	Count   int      `help:"How many counters." required:""`
	Cells   int      `help:"Cells of the fleet." required:""`
	Rows    int      `help:"Routes in each report of CPU time." required:""`
	Block   int      `help:"Second number of the loopback addresses." required:""`
	Seeds   []string `help:"Addresses of three stockrooms." required:""`
	HTTP    string   `help:"Where to answer." name:"http" required:""`
	Thrifty bool     `help:"As counters with --by-cell, and a lease without end."`
}

// shell is one counter without its pages, desks and circuits to targets.
type shell struct {
	control *counter.Control
	owner   *hoist.Owner
	post    *hoist.Post
	mu      sync.Mutex
	standing
	// stock is what its desks would hold.
	stock map[ticket.Name]desk.Stock
}

// standing is what is known of a counter from outside.
type standing struct {
	ready, inStep bool
	revision      ticket.Revision
	// adopted and stood are when the policy and the footing last changed.
	adopted, stood time.Time
}

// Crew is many hollow counters.
type Crew struct {
	CrewParams
	tally  hoist.Tally
	shells []*shell
}

const (
	wirePort    = 7401
	pagesPort   = 7400
	beat        = 50 * time.Millisecond
	reportEvery = 2 * time.Second
)

// counterAt is the address of the nth counter.
func counterAt(block, n int) ticket.Address {
	return ticket.Address(fmt.Sprintf("127.%d.%d.%d:%d", block, 10+n/200, n%200+1, wirePort))
}

// NewCrew makes counters that know only themselves and their seeds.
func NewCrew(p CrewParams) *Crew {
	c := &Crew{CrewParams: p}
	size := Size{Cells: p.Cells, Regions: 1}
	var seeds []ticket.Address
	for _, s := range p.Seeds {
		seeds = append(seeds, ticket.Address(s))
	}
	log := hoist.NewLog("error", "hollow")
	for n := p.First; n < p.First+p.Count; n++ {
		at := counterAt(p.Block, n)
		self := rollcall.Member{ID: ticket.Daemon(fmt.Sprintf("counter-%d", n+1)), Role: rollcall.Counter, Address: at, HTTP: at,
			Cell: size.Cell(n), Start: ticket.Start(rand.Uint64()>>24 | 1), Incarnation: ticket.Incarnation(time.Now().UnixMilli())}
		o := counter.Options{}
		if p.Thrifty {
			o = counter.Options{Lease: counter.Endless, Layout: counter.Layout{ByCell: true}}
		}
		s := &shell{control: counter.New(rollcall.Params{Self: self, Seeds: seeds, Thrifty: p.Thrifty}, o), stock: map[ticket.Name]desk.Stock{}}
		s.post = &hoist.Post{Address: at, Log: log, Tally: &c.tally,
			Deliver: func(from ticket.Address, msg any) { s.owner.Offer(works.Heard{From: from, Msg: msg}) }}
		s.owner = hoist.NewOwner(s.control, beat, s.do)
		c.shells = append(c.shells, s)
	}
	return c
}

// do carries out a command as a counter does, up to where requests begin.
func (s *shell) do(c works.Command) {
	switch c := c.(type) {
	case works.Send:
		s.post.Send(c.To, c.Msg)
	case counter.ToDesk:
		if stock, ok := c.Event.(desk.Stock); ok {
			s.stock[c.Service] = stock
		}
	case counter.Routes:
		s.mu.Lock()
		s.revision, s.adopted = c.View.Revision, time.Now()
		s.mu.Unlock()
	case counter.Footing:
		s.mu.Lock()
		if s.ready != c.Ready || s.inStep != c.InStep {
			s.stood = time.Now()
		}
		s.ready, s.inStep = c.Ready, c.InStep
		s.mu.Unlock()
	}
}

// Run runs them until the context ends.
func (c *Crew) Run(ctx context.Context) error {
	sup := premises.Supervisor("crew", hoist.NewLog("warn", "crew"))
	for _, s := range c.shells {
		l, err := s.post.Listen()
		if err != nil {
			return err
		}
		sup.Add(s.owner)
		sup.Add(premises.Task("post", func(x context.Context) error { return s.post.Serve(x, l) }))
	}
	sup.Add(premises.Task("reports", c.report))
	pages, err := window.Listen(c.HTTP)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	premises.Metrics(mux, func() []premises.Gauge { return premises.Wire(&c.tally) })
	mux.HandleFunc("GET /state", func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(rw).Encode(c.state())
	})
	// What the counters spend their time on names the mechanism behind a slope.
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/heap", pprof.Handler("heap").ServeHTTP)
	life, end := context.WithCancel(ctx)
	defer end()
	sup.ServeBackground(life)
	return window.Serve(ctx, pages, mux, 100*time.Millisecond)
}

// report hands each counter, in turn over the interval, what its requests
// would have cost.
func (c *Crew) report(ctx context.Context) error {
	t := time.NewTicker(reportEvery / time.Duration(c.Count))
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
		m := counter.Meter{Interval: reportEvery, Latency: 3 * time.Millisecond, Count: 100}
		for i := range c.Rows {
			m.Rows = append(m.Rows, haulage.Spent{Route: ticket.Name(fmt.Sprintf("route-%d", i+1)), Service: "service-1", CPU: rand.Float64() * 10})
		}
		c.shells[n%c.Count].owner.Offer(m)
	}
}

// Stand is how one counter stands.
type Stand struct {
	Ready    bool  `json:"ready"`
	InStep   bool  `json:"in_step"`
	Revision int64 `json:"revision"`
	// Adopted and Stood are wall times in ns, of this one machine.
	Adopted int64 `json:"adopted"`
	Stood   int64 `json:"stood"`
}

func (c *Crew) state() []Stand {
	var out []Stand
	for _, s := range c.shells {
		s.mu.Lock()
		out = append(out, Stand{s.ready, s.inStep, int64(s.revision), s.adopted.UnixNano(), s.stood.UnixNano()})
		s.mu.Unlock()
	}
	return out
}
