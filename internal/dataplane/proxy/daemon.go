package proxy

import (
	"cmp"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"dunlinwell/internal/app/daemon"
	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/transport/process"
)

// tickInterval is the interval between ticks of Control and of the dispatchers.
const tickInterval = 50 * time.Millisecond

// Daemon is the process of a proxy. Its exported methods, which a Frontend is built on, are
// safe for concurrent use once Run was called.
type Daemon struct {
	Options   DaemonOptions
	self      membership.Member
	log       *process.Log
	eventLoop *process.EventLoop
	transport *process.Transport
	pool      connectionPool
	memory    memoryBudget
	frontend  Frontend
	// targetProtocol is the target protocol of the frontend.
	targetProtocol TargetProtocol
	// clientListener is set before Run starts anything else; nil if there is no separate
	// listen address for clients.
	clientListener *clientListener
	meter          *usageMeter
	router         atomic.Pointer[router]
	servingState   atomic.Pointer[ServingState]
	// lastRequestID is the last request ID assigned in this run.
	lastRequestID atomic.Uint64
	// lastStep is the time of Control's last step, as ids.Time; a large age indicates that
	// the process was paused.
	lastStep atomic.Int64
	// configurationConfirmedAt is a copy of Control's field, as ids.Time.
	configurationConfirmedAt atomic.Int64
	delayProbe               delayProbe
	stopping                 atomic.Bool
	// staleResponses is the number of targets' responses that belonged to another request than
	// the one in progress on their connection, and were skipped.
	staleResponses atomic.Uint64
	// mu guards the map; each dispatcher has its own lock.
	mu          sync.RWMutex
	dispatchers map[ids.Name]*serviceDispatcher
}

// NewDaemon returns a proxy that is started by Run.
func NewDaemon(options DaemonOptions) *Daemon {
	d := &Daemon{
		Options: options, log: process.NewLog(options.LogLevel, options.Name),
		meter: newUsageMeter(), dispatchers: map[ids.Name]*serviceDispatcher{},
	}
	d.memory.limit = int64(cmp.Or(options.MemoryLimit, defaultMemoryLimit))
	d.self = daemon.NewMember(options.Common, membership.Proxy)
	d.self.ClientListen = ids.Address(options.ClientListen)
	control := New(
		membership.Options{Self: d.self, Seeds: options.SeedAddresses(), Incremental: options.ByZone},
		ControlOptions{Lease: options.Lease, SlotLayout: options.SlotLayout},
	)
	d.eventLoop = process.NewEventLoop(&stepRecorder{control, d}, tickInterval, d.execute)
	d.transport = &process.Transport{
		Address: ids.Address(options.Address), Bind: ids.Address(options.Bind), Log: d.log, Stats: &process.TrafficStats{},
		Deliver: func(from ids.Address, msg any) { d.eventLoop.Offer(event.Received{From: from, Message: msg}) },
	}
	d.configureProtocols()
	d.router.Store(newRouter(emptyConfiguration().View()))
	d.servingState.Store(&ServingState{})
	return d
}

// configureProtocols sets the frontend, and configures the connection pool for its target
// protocol.
func (d *Daemon) configureProtocols() {
	if d.frontend = d.Options.Frontend; d.frontend == nil {
		d.frontend = nativeFrontend{d}
	}
	d.targetProtocol = d.frontend.TargetProtocol()
	d.pool.verifyIdentity = d.targetProtocol.VerifiesIdentity()
	d.pool.dialTimeout = cmp.Or(d.Options.DialTimeout, defaultDialTimeout)
	if address, err := netip.ParseAddrPort(d.Options.HTTPListenAddress()); err == nil {
		d.pool.localIP = net.IP(address.Addr().AsSlice())
	}
}

// stepRecorder wraps Control to record the time of its last step and the last confirmation of
// its configuration.
type stepRecorder struct {
	*Control
	daemon *Daemon
}

func (r *stepRecorder) Step(now ids.Time, ev event.Event) []event.Command {
	// The commands of the previous step have been executed, so the router already has the
	// configuration that was confirmed in it.
	r.daemon.configurationConfirmedAt.Store(int64(r.Control.configurationConfirmedAt))
	if _, ok := ev.(probeReturned); ok {
		r.daemon.delayProbe.returned(now)
		return nil
	}
	commands := r.Control.Step(now, ev)
	r.daemon.lastStep.Store(int64(now))
	return commands
}

// execute executes a command of Control.
func (d *Daemon) execute(command event.Command) {
	if d.transport.Execute(command) {
		return
	}
	switch c := command.(type) {
	case DispatchEvent:
		d.stepDispatcher(c.Service, c.Event)
	case UpdateRoutes:
		d.router.Store(newRouter(c.View))
		if l := d.clientListener; l != nil {
			l.setLimits(c.View.Limits)
		}
	case ServingState:
		d.servingState.Store(&c)
	}
}
