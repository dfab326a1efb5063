package premises

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/thejerf/suture/v4"

	"dunlinwell/internal/foreman"
	"dunlinwell/internal/hoist"
	"dunlinwell/internal/params"
	"dunlinwell/internal/rollcall"
	"dunlinwell/internal/ticket"
	"dunlinwell/internal/window"
	"dunlinwell/internal/works"
)

// ForemanParams are what a foreman is told at its start.
type ForemanParams struct {
	params.Common
	PlanEvery time.Duration `help:"How often the spill is planned." default:"30s"`
	Lifetime  time.Duration `help:"How long an answer of the directory may be trusted, 3s at most." default:"2s"`
	Thrifty   bool          `help:"Tell only of what changes, and each counter by two foremen alone; the same on all core daemons."`
	// Options that a platform's own start sets.
	Regions        map[ticket.Name]string `kong:"-"`
	Always, Derive bool                   `kong:"-"`
	// Edge gives what is served besides our own pages, by address.
	Edge func(w *window.Window) map[string]http.Handler `kong:"-"`
}

// Validate checks what the common params don't cover.
func (p *ForemanParams) Validate() error {
	if p.Lifetime <= 0 || p.Lifetime > 3*time.Second {
		return &Unfit{errorf("--lifetime: must be over 0 and at most 3s")}
	}
	if p.PlanEvery < time.Second {
		return &Unfit{errorf("--plan-every: must be at least 1s")}
	}
	return p.Common.Validate()
}

// RunForeman runs a foreman until the context ends.
func RunForeman(ctx context.Context, p ForemanParams) error {
	log := hoist.NewLog(p.Log, p.Name)
	m := foreman.New(foreman.Params{Params: rollcall.Params{Self: Self(p.Common, rollcall.Foreman), Seeds: p.SeedList(), Thrifty: p.Thrifty},
		PlanEvery: p.PlanEvery, Lifetime: p.Lifetime, Regions: p.Regions, Thrifty: p.Thrifty, Always: p.Always, Derive: p.Derive, Dice: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))})
	post := &hoist.Post{Address: ticket.Address(p.Address), Bind: ticket.Address(p.Bind), Log: log, Tally: &hoist.Tally{}}
	win := &window.Window{Log: log.Event}
	owner := hoist.NewOwner(m, 50*time.Millisecond, func(c works.Command) {
		switch c := c.(type) {
		case works.Send:
			post.Send(c.To, c.Msg)
		case works.Note:
			log.Note(c)
		case foreman.Response:
			win.Responded(c)
		}
	})
	post.Deliver = func(from ticket.Address, msg any) { owner.Offer(works.Heard{From: from, Msg: msg}) }
	win.Put = owner.Put
	wire, pages, err := ports(post, p.Pages())
	if err != nil {
		return err
	}
	var stopping atomic.Bool
	mux := http.NewServeMux()
	mux.Handle("/v1/", win.Handler())
	rollHealth(mux, m.Me, &stopping)
	Metrics(mux, func() []Gauge {
		out := Wire(post.Tally)
		for _, f := range win.Status().Figures() {
			out = append(out, Gauge{Name: f.Name, Labels: f.Labels, Values: f.Values, Value: f.Value})
		}
		return out
	})
	tasks := []suture.Service{owner, Task("post", func(c context.Context) error { return post.Serve(c, wire) })}
	if p.Edge != nil {
		for at, h := range p.Edge(win) {
			l, err := window.Listen(at)
			if err != nil {
				return err
			}
			tasks = append(tasks, Task("pages "+at, func(c context.Context) error { return window.Serve(c, l, h, 300*time.Millisecond) }))
		}
	}
	return live(ctx, "foreman", log, &stopping, func() error { return window.Serve(ctx, pages, mux, 1700*time.Millisecond) },
		tasks...)
}
