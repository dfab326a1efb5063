package daemon

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"dunlinwell/internal/app/api"
	"dunlinwell/internal/base/errs"
	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/store"
	"dunlinwell/internal/state/consensus"
	"dunlinwell/internal/state/storage"
	"dunlinwell/internal/transport/process"
)

// storeTick is the interval of a store's timer, which is the resolution of its timeouts.
const storeTick = 20 * time.Millisecond

// RunStore runs a store until the context is done. If the store detects that its disk was
// replaced by another one in the fleet, its data directory is set aside and the store rejoins
// with an empty one.
func RunStore(ctx context.Context, options StoreOptions) error {
	for {
		replaced, err := runStore(ctx, options)
		if err != nil || !replaced || ctx.Err() != nil {
			return err
		}
		setAsidePath, err := storage.SetAside(options.DataDir, "replaced")
		if err != nil {
			return err
		}
		process.NewLog(options.LogLevel, options.Name).Event(event.LevelError, logDatabaseReplaced, "set_aside", setAsidePath)
	}
}

// runStore runs a store on its data directory until the context is done or the store's disk
// was replaced.
func runStore(ctx context.Context, options StoreOptions) (replaced bool, err error) {
	ctx, retire := context.WithCancel(ctx)
	defer retire()
	log := process.NewLog(options.LogLevel, options.Name)
	database, err := openDatabase(options.DataDir, log)
	if err != nil {
		return false, err
	}
	// Everything that was reported as synced is already on disk.
	defer func() { _ = database.Close() }()
	d := newStoreDaemon(options, log, database, retire)
	d.stop.onSignal(ctx, options.GracePeriod, d.eventLoop)
	peers, httpListener, err := openListeners(d.transport, options.HTTPListenAddress())
	if err != nil {
		return false, err
	}
	var stopping atomic.Bool
	handler := d.handler(&stopping)
	err = serveUntilStopped(ctx, "store", log, &stopping,
		func() error { return api.Serve(d.stop.serving, httpListener, handler, httpStopGrace) },
		d.eventLoop, d.committer, NewTask("transport", func(ctx context.Context) error { return d.transport.Serve(ctx, peers) }))
	return d.replaced.Load(), err
}

// openDatabase opens the data directory. If the database is damaged, it is set aside and an
// empty one is opened.
func openDatabase(dir string, log *process.Log) (*storage.Database, error) {
	database, err := storage.OpenChecked(dir, func(d *storage.Database) error { return consensus.CheckDisk(d) })
	if err != nil {
		return nil, &StartError{errs.Wrap(err, "--data", "")}
	}
	if database.SetAsidePath != "" {
		log.Event(event.LevelError, logDatabaseDamaged, "set_aside", database.SetAsidePath, "error", database.DamageCause.Error())
	}
	return database, nil
}

// storeDaemon holds a store's state machine and the components that execute its commands.
type storeDaemon struct {
	options   StoreOptions
	log       *process.Log
	machine   *store.Store
	eventLoop *process.EventLoop
	transport *process.Transport
	committer *committer
	stop      *gracefulStop
	// retire ends this run of the store.
	retire func()
	// replaced is set when the state machine detects that its disk was replaced.
	replaced atomic.Bool
	// recoverResponses holds the response to store.RecoverRequest.
	recoverResponses chan store.RecoverResponse
}

func newStoreDaemon(options StoreOptions, log *process.Log, database *storage.Database, retire func()) *storeDaemon {
	d := &storeDaemon{
		options: options, log: log, retire: retire, stop: newGracefulStop(),
		machine: store.New(store.Options{
			Options:  membership.Options{Self: NewMember(options.Common, membership.Store), Seeds: options.SeedAddresses(), Incremental: options.Incremental},
			Replicas: options.Replicas, Bootstrap: options.Bootstrap, StoreID: database.StoreID, RunNumber: database.RunNumber, Storage: database, Random: newRandom(),
		}),
		transport:        newTransport(options.Common, log),
		committer:        &committer{database: database, log: log, queue: make(chan event.Sync, commitQueueLength)},
		recoverResponses: make(chan store.RecoverResponse, 1),
	}
	d.eventLoop = process.NewEventLoop(d.machine, storeTick, d.stop.interceptMayStop(d.execute))
	d.committer.execute = d.execute
	d.committer.onSynced = func(s event.Synced) { d.eventLoop.Put(s) }
	database.OnReadError = d.committer.fatal
	deliverTo(d.transport, d.eventLoop)
	return d
}

// execute executes a command of the state machine.
func (d *storeDaemon) execute(command event.Command) {
	if d.transport.Execute(command) {
		return
	}
	switch c := command.(type) {
	case event.Sync:
		d.committer.queue <- c
	case store.Retire:
		d.replaced.Store(true)
		d.retire()
	case store.RecoverResponse:
		select {
		case d.recoverResponses <- c:
		default: // the call has timed out
		}
	}
}

// handler returns the handler of the store's HTTP endpoints. It forwards API calls to a
// registry, except for the recovery of a fleet without a majority.
func (d *storeDaemon) handler(stopping *atomic.Bool) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/v1/", api.NewForwarder(func() []ids.Address {
		return RegistryAddresses(d.machine.Members(), ids.Name(d.options.Zone))
	}))
	mux.HandleFunc("POST /v1/core/refound", d.handleRecovery)
	handleMemberHealth(mux, d.machine.SelfMember, stopping)
	HandleMetrics(mux, func() []Metric {
		return append(TrafficMetrics(d.transport.Stats), d.committer.metrics()...)
	})
	return mux
}
