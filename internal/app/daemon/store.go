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
	DataDir  string `help:"The data folder, held by this process alone." required:"" placeholder:"DIR" name:"data"`
	Replicas int    `help:"How many stores keep each item: one more than twice the disks that may be lost at once." default:"3" name:"copies"`
	// Bootstrap is asked for on purpose: blank stores never found a fleet by themselves.
	Bootstrap   bool          `help:"The fleet starts for the first time, on empty disks: the seeds, all blank and all with this flag, may found it." name:"bootstrap"`
	GracePeriod time.Duration `help:"How long this store may go on after the polite signal, to hand its vote over or while too few others are up." default:"5s" name:"grace"`
	Incremental bool          `help:"Compare rolls by parts and tell only of what differs, as registries do." name:"thrifty"`
}

// serveUntilStopped runs a daemon's services while its pages are served, then lets go.
func serveUntilStopped(ctx context.Context, name string, log *process.Log, stopping *atomic.Bool, pages func() error, services ...suture.Service) error {
	s := NewSupervisor(name, log)
	for _, v := range services {
		s.Add(v)
	}
	running, end := context.WithCancel(context.Background())
	defer end()
	done := s.ServeBackground(running)
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
	database *storage.Database
	queue    chan event.Sync
	execute  func(event.Command)
	onSynced func(event.Synced)
	log      *process.Log
	// syncs, records and bytes count the work of the disk.
	syncs, records, bytes atomic.Uint64
}

const (
	pruneInterval = 10 * time.Second
	maxBatchSize  = 512
)

// Serve ends only with the context. A failed sync ends the whole process: what
// the kernel did with the pages isn't known, and a second sync might lie.
func (c *committer) Serve(ctx context.Context) error {
	prune := time.NewTicker(pruneInterval)
	defer prune.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-prune.C:
			if _, err := c.database.Prune(idempotency.Retention, maxBatchSize); err != nil && ctx.Err() == nil {
				c.fatal(err)
			}
		case s := <-c.queue:
			c.commit(ctx, c.collectBatch(s))
		}
	}
}

func (c *committer) collectBatch(first event.Sync) []event.Sync {
	list := []event.Sync{first}
	for len(list) < maxBatchSize {
		select {
		case s := <-c.queue:
			list = append(list, s)
		default:
			return list
		}
	}
	return list
}

func (c *committer) commit(ctx context.Context, batch []event.Sync) {
	var records []event.Record
	for _, s := range batch {
		records = append(records, s.Records...)
	}
	if len(records) > 0 {
		if err := c.database.Write(records); err != nil {
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
	for _, s := range batch {
		for _, then := range s.After {
			c.execute(then)
		}
	}
	c.onSynced(event.Synced{Batch: batch[len(batch)-1].Batch})
}

func (c *committer) fatal(err error) {
	c.log.Event(event.LevelError, "disk failed, stopping", "error", err.Error())
	os.Exit(1)
}

// runStore runs a store on its folder until the context ends, or until another
// took the place of this folder's disk; then replaced is set.
func runStore(ctx context.Context, options StoreOptions, replaced *atomic.Bool) error {
	ctx, leave := context.WithCancel(ctx)
	defer leave()
	log := process.NewLog(options.LogLevel, options.Name)
	disk, err := storage.OpenChecked(options.DataDir, func(d *storage.Database) error { return consensus.CheckDisk(d) })
	if err != nil {
		return &StartError{errs.Wrap(err, "--data", "")}
	}
	defer disk.Close()
	if disk.SetAsidePath != "" {
		log.Event(event.LevelError, "damaged database set aside, joining as blank", "kept", disk.SetAsidePath, "error", disk.DamageCause.Error())
	}
	machine := store.New(store.Options{
		Options:  membership.Options{Self: NewMember(options.Common, membership.Store), Seeds: options.SeedAddresses(), Incremental: options.Incremental},
		Replicas: options.Replicas, Bootstrap: options.Bootstrap, StoreID: disk.StoreID, RunNumber: disk.RunNumber, Storage: disk, Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	transport := &process.Transport{Address: ids.Address(options.Address), Bind: ids.Address(options.Bind), Log: log, Stats: &process.TrafficStats{}}
	c := &committer{database: disk, log: log, queue: make(chan event.Sync, 1<<16)}
	disk.OnReadError = c.fatal
	recoverResponses := make(chan store.RecoverResponse, 1)
	do := func(cmd event.Command) {
		switch cmd := cmd.(type) {
		case event.Send:
			transport.Send(cmd.To, cmd.Msg)
		case event.LogEntry:
			log.WriteEntry(cmd)
		case event.Discarded:
			transport.Discard(cmd)
		case event.Sync:
			c.queue <- cmd
		case store.Retire:
			replaced.Store(true)
			leave()
		case store.RecoverResponse:
			select {
			case recoverResponses <- cmd:
			default:
			}
		}
	}
	stop := newGracefulStop()
	owner := process.NewOwner(machine, 20*time.Millisecond, stop.interceptMayStop(do))
	stop.onSignal(ctx, options.GracePeriod, owner)
	c.execute, c.onSynced = do, func(s event.Synced) { owner.Put(s) }
	transport.Deliver = func(from ids.Address, msg any) { owner.Offer(event.Received{From: from, Msg: msg}) }
	peerListener, httpListener, err := openListeners(transport, options.HTTPListenAddress())
	if err != nil {
		return err
	}
	var stopping atomic.Bool
	mux := http.NewServeMux()
	mux.Handle("/v1/", api.NewForwarder(func() []ids.Address { return RegistryAddresses(machine.Members(), ids.Name(options.Zone)) }))
	mux.HandleFunc("POST /v1/core/refound", func(rw http.ResponseWriter, r *http.Request) { handleRecovery(rw, r, owner, recoverResponses) })
	handleMemberHealth(mux, machine.SelfMember, &stopping)
	HandleMetrics(mux, func() []Metric {
		return append(TrafficMetrics(transport.Stats), []Metric{
			{Name: "disk_syncs_total", Value: float64(c.syncs.Load()), IsCounter: true},
			{Name: "disk_records_total", Value: float64(c.records.Load()), IsCounter: true},
			{Name: "disk_bytes_total", Value: float64(c.bytes.Load()), IsCounter: true},
			{Name: "disk_inbox_length", Value: float64(len(c.queue))},
		}...)
	})
	return serveUntilStopped(ctx, "store", log, &stopping, func() error { return api.Serve(stop.serving, httpListener, mux, httpStopGrace) },
		owner, c, NewTask("post", func(x context.Context) error { return transport.Serve(x, peerListener) }))
}
