package daemon

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/thejerf/suture/v4"

	"dunlinwell/internal/app/api"
	"dunlinwell/internal/base/errs"
	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/base/settings"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/store"
	"dunlinwell/internal/state/consensus"
	"dunlinwell/internal/state/idempotency"
	"dunlinwell/internal/state/storage"
	"dunlinwell/internal/transport/process"
)

func errorf(format string, args ...any) error { return fmt.Errorf(format, args...) }

// StockroomOptions are what a store is told at its start.
type StoreOptions struct {
	settings.Common
	Data   string `help:"The data folder, held by this process alone." required:"" placeholder:"DIR" name:"data"`
	Copies int    `help:"How many stores keep each item: one more than twice the disks that may be lost at once." default:"3" name:"copies"`
	// Bootstrap is asked for on purpose: blank stores never found a fleet by themselves.
	Bootstrap bool          `help:"The fleet starts for the first time, on empty disks: the seeds, all blank and all with this flag, may found it." name:"bootstrap"`
	Grace     time.Duration `help:"How long this store may go on after the polite signal, to hand its vote over or while too few others are up." default:"5s" name:"grace"`
	Thrifty   bool          `help:"Compare rolls by parts and tell only of what differs, as registries do." name:"thrifty"`
}

// live runs a daemon's services while its pages are served, then lets go.
func live(ctx context.Context, name string, log *process.Log, stopping *atomic.Bool, pages func() error, services ...suture.Service) error {
	s := Supervisor(name, log)
	for _, v := range services {
		s.Add(v)
	}
	life, end := context.WithCancel(context.Background())
	defer end()
	done := s.ServeBackground(life)
	stop := context.AfterFunc(ctx, func() { stopping.Store(true); log.Event(event.LevelInfo, "stopping") })
	defer stop()
	log.Event(event.LevelInfo, "started", "role", name)
	err := pages()
	end()
	select {
	case <-done:
	case <-time.After(200 * time.Millisecond):
	}
	log.Event(event.LevelInfo, "stopped")
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// committer syncs what the machine settles, all that waits in one go, and
// only then lets the rest of it out.
type committer struct {
	shelf *storage.Database
	inbox chan event.Sync
	do    func(event.Command)
	done  func(event.Synced)
	log   *process.Log
	// syncs, records and bytes count the work of the disk.
	syncs, records, bytes atomic.Uint64
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
			if _, err := c.shelf.Prune(idempotency.Retention, mostBatch); err != nil && ctx.Err() == nil {
				c.fatal(err)
			}
		case s := <-c.inbox:
			c.commit(ctx, c.batch(s))
		}
	}
}

func (c *committer) batch(first event.Sync) []event.Sync {
	list := []event.Sync{first}
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

func (c *committer) commit(ctx context.Context, list []event.Sync) {
	var records []event.Record
	for _, s := range list {
		records = append(records, s.Records...)
	}
	if len(records) > 0 {
		if err := c.shelf.Write(records); err != nil {
			// A process that ends closes its disk; nothing is told of what waited.
			if ctx.Err() != nil {
				return
			}
			c.fatal(err)
		}
		c.syncs.Add(1)
		c.records.Add(uint64(len(records)))
		for _, r := range records {
			c.bytes.Add(uint64(len(r.Value)))
		}
	}
	for _, s := range list {
		for _, then := range s.After {
			c.do(then)
		}
	}
	c.done(event.Synced{Batch: list[len(list)-1].Batch})
}

func (c *committer) fatal(err error) {
	c.log.Event(event.LevelError, "disk failed, stopping", "error", err.Error())
	os.Exit(1)
}

// runStore runs a store on its folder until the context ends, or until another
// took the place of this folder's disk; then replaced is set.
func runStore(ctx context.Context, p StoreOptions, replaced *atomic.Bool) error {
	ctx, leave := context.WithCancel(ctx)
	defer leave()
	log := process.NewLog(p.Log, p.Name)
	disk, err := storage.OpenChecked(p.Data, func(d *storage.Database) error { return consensus.CheckDisk(d) })
	if err != nil {
		return &StartError{errs.Wrap(err, "--data", "")}
	}
	defer disk.Close()
	if disk.SetAsidePath != "" {
		log.Event(event.LevelError, "damaged database set aside, joining as blank", "kept", disk.SetAsidePath, "error", disk.DamageCause.Error())
	}
	m := store.New(store.Options{
		Options:  membership.Options{Self: Self(p.Common, membership.Store), Seeds: p.SeedList(), Incremental: p.Thrifty},
		Replicas: p.Copies, Bootstrap: p.Bootstrap, StoreID: disk.StoreID, RunNumber: disk.RunNumber, Storage: disk, Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	post := &process.Transport{Address: ids.Address(p.Address), Bind: ids.Address(p.Bind), Log: log, Stats: &process.TrafficStats{}}
	c := &committer{shelf: disk, log: log, inbox: make(chan event.Sync, 1<<16)}
	disk.OnReadError = c.fatal
	orders := make(chan store.RecoverResponse, 1)
	do := func(cmd event.Command) {
		switch cmd := cmd.(type) {
		case event.Send:
			post.Send(cmd.To, cmd.Msg)
		case event.LogEntry:
			log.Note(cmd)
		case event.Discarded:
			post.Discard(cmd)
		case event.Sync:
			c.inbox <- cmd
		case store.Retire:
			replaced.Store(true)
			leave()
		case store.RecoverResponse:
			select {
			case orders <- cmd:
			default:
			}
		}
	}
	life := newDeparture()
	owner := process.NewOwner(m, 20*time.Millisecond, life.watch(do))
	life.onSignal(ctx, p.Grace, owner)
	c.do, c.done = do, func(s event.Synced) { owner.Put(s) }
	post.Deliver = func(from ids.Address, msg any) { owner.Offer(event.Received{From: from, Msg: msg}) }
	wire, pages, err := ports(post, p.Pages())
	if err != nil {
		return err
	}
	var stopping atomic.Bool
	mux := http.NewServeMux()
	mux.Handle("/v1/", api.NewForwarder(func() []ids.Address { return RegistryAddresses(m.Members(), ids.Name(p.Cell)) }))
	mux.HandleFunc("POST /v1/core/refound", func(rw http.ResponseWriter, r *http.Request) { refound(rw, r, owner, orders) })
	rollHealth(mux, m.SelfMember, &stopping)
	Metrics(mux, func() []Gauge {
		return append(TrafficGauges(post.Stats), []Gauge{
			{Name: "disk_syncs_total", Value: float64(c.syncs.Load()), Total: true},
			{Name: "disk_records_total", Value: float64(c.records.Load()), Total: true},
			{Name: "disk_bytes_total", Value: float64(c.bytes.Load()), Total: true},
			{Name: "disk_inbox_length", Value: float64(len(c.inbox))},
		}...)
	})
	return live(ctx, "store", log, &stopping, func() error { return api.Serve(life.serving, pages, mux, leavePages) },
		owner, c, Task("post", func(x context.Context) error { return post.Serve(x, wire) }))
}
