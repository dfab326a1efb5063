package premises

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/thejerf/suture/v4"

	"dunlinwell/internal/hoist"
	"dunlinwell/internal/params"
	"dunlinwell/internal/problem"
	"dunlinwell/internal/rollcall"
	"dunlinwell/internal/shelf"
	"dunlinwell/internal/stockroom"
	"dunlinwell/internal/ticket"
	"dunlinwell/internal/till"
	"dunlinwell/internal/window"
	"dunlinwell/internal/works"
)

func errorf(format string, args ...any) error { return fmt.Errorf(format, args...) }

// StockroomParams are what a stockroom is told at its start.
type StockroomParams struct {
	params.Common
	Data    string `help:"The data folder, held by this process alone." required:"" placeholder:"DIR"`
	Copies  int    `help:"How many stockrooms keep each item: one more than twice the disks that may be lost at once." default:"3"`
	Thrifty bool   `help:"Compare rolls by parts and tell only of what differs, as foremen do."`
}

// live runs a daemon's services while its pages are served, then lets go.
func live(ctx context.Context, name string, log *hoist.Log, stopping *atomic.Bool, pages func() error, services ...suture.Service) error {
	s := Supervisor(name, log)
	for _, v := range services {
		s.Add(v)
	}
	life, end := context.WithCancel(context.Background())
	defer end()
	done := s.ServeBackground(life)
	stop := context.AfterFunc(ctx, func() { stopping.Store(true); log.Event("info", "stopping") })
	defer stop()
	log.Event("info", "started", "role", name)
	err := pages()
	end()
	select {
	case <-done:
	case <-time.After(200 * time.Millisecond):
	}
	log.Event("info", "stopped")
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// committer syncs what the machine settles, all that waits in one go, and
// only then lets the rest of it out.
type committer struct {
	shelf *shelf.Shelf
	inbox chan works.Settle
	do    func(works.Command)
	done  func(works.Settled)
	log   *hoist.Log
	// syncs and records count the work of the disk.
	syncs, records atomic.Uint64
}

const (
	pruneEvery = 10 * time.Second
	mostBatch  = 512
)

// Serve ends only with the context. A failed sync ends the whole process: what
// the kernel did with the pages isn't known, and a second sync might lie.
func (c *committer) Serve(ctx context.Context) error {
	prune := time.NewTicker(pruneEvery)
	defer prune.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-prune.C:
			if _, err := c.shelf.Prune(till.Kept, mostBatch); err != nil {
				c.fatal(err)
			}
		case s := <-c.inbox:
			c.commit(c.batch(s))
		}
	}
}

func (c *committer) batch(first works.Settle) []works.Settle {
	list := []works.Settle{first}
	for len(list) < mostBatch {
		select {
		case s := <-c.inbox:
			list = append(list, s)
		default:
			return list
		}
	}
	return list
}

func (c *committer) commit(list []works.Settle) {
	var records []works.Record
	for _, s := range list {
		records = append(records, s.Records...)
	}
	if len(records) > 0 {
		if err := c.shelf.Keep(records); err != nil {
			c.fatal(err)
		}
		c.syncs.Add(1)
		c.records.Add(uint64(len(records)))
	}
	for _, s := range list {
		for _, then := range s.Then {
			c.do(then)
		}
	}
	c.done(works.Settled{Turn: list[len(list)-1].Turn})
}

func (c *committer) fatal(err error) {
	c.log.Event("error", "disk failed, stopping", "problem", err.Error())
	os.Exit(1)
}

// RunStockroom runs a stockroom until the context ends.
func RunStockroom(ctx context.Context, p StockroomParams) error {
	log := hoist.NewLog(p.Log, p.Name)
	disk, err := shelf.Open(p.Data)
	if err != nil {
		return &Unfit{problem.At(err, "--data", "")}
	}
	defer disk.Close()
	if disk.SetAside != "" {
		log.Event("error", "damaged database set aside, joining as blank", "kept", disk.SetAside)
	}
	m := stockroom.New(stockroom.Params{Params: rollcall.Params{Self: Self(p.Common, rollcall.Stockroom), Seeds: p.SeedList(), Thrifty: p.Thrifty},
		Copies: p.Copies, Store: disk.Store, Run: disk.Run, Shelf: disk, Dice: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))})
	post := &hoist.Post{Address: ticket.Address(p.Address), Bind: ticket.Address(p.Bind), Log: log, Tally: &hoist.Tally{}}
	c := &committer{shelf: disk, log: log, inbox: make(chan works.Settle, 1<<16)}
	disk.Broken = c.fatal
	orders := make(chan stockroom.Refounding, 1)
	do := func(cmd works.Command) {
		switch cmd := cmd.(type) {
		case works.Send:
			post.Send(cmd.To, cmd.Msg)
		case works.Note:
			log.Note(cmd)
		case works.Settle:
			c.inbox <- cmd
		case stockroom.Refounding:
			select {
			case orders <- cmd:
			default:
			}
		}
	}
	owner := hoist.NewOwner(m, 20*time.Millisecond, do)
	c.do, c.done = do, func(s works.Settled) { owner.Put(s) }
	post.Deliver = func(from ticket.Address, msg any) { owner.Offer(works.Heard{From: from, Msg: msg}) }
	wire, pages, err := ports(post, p.Pages())
	if err != nil {
		return err
	}
	var stopping atomic.Bool
	mux := http.NewServeMux()
	mux.Handle("/v1/", window.NewFerry(func() []ticket.Address { return Foremen(m.Members(), ticket.Name(p.Cell)) }))
	mux.HandleFunc("POST /v1/core/refound", func(rw http.ResponseWriter, r *http.Request) { refound(rw, r, owner, orders) })
	rollHealth(mux, m.Me, &stopping)
	Metrics(mux, func() []Gauge {
		return append(Wire(post.Tally), []Gauge{{Name: "disk_syncs_total", Value: float64(c.syncs.Load()), Total: true},
			{Name: "disk_records_total", Value: float64(c.records.Load()), Total: true},
			{Name: "disk_inbox_length", Value: float64(len(c.inbox))}}...)
	})
	return live(ctx, "stockroom", log, &stopping, func() error { return window.Serve(ctx, pages, mux, 1700*time.Millisecond) },
		owner, c, Task("post", func(x context.Context) error { return post.Serve(x, wire) }))
}
