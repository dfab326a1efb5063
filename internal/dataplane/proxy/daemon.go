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

// tickInterval is the time between ticks of the control machine and of the dispatchers.
const tickInterval = 50 * time.Millisecond

// Daemon is the process of a proxy. Its exported methods are safe for concurrent use once
// Run was called; they are what a Frontend is written with.
type Daemon struct {
	Options   DaemonOptions
	self      membership.Member
	log       *process.Log
	owner     *process.Owner
	transport *process.Transport
	pool      connectionPool
	memory    memoryBudget
	frontend  Frontend
	// targetProtocol is the frontend's.
	targetProtocol TargetProtocol
	// clientListener is set before Run starts anything else; nil if clients have no address
	// of their own.
	clientListener *clientListener
	meter          *usageMeter
	router         atomic.Pointer[router]
	servingState   atomic.Pointer[ServingState]
	// lastRequestID counts requests in this run.
	lastRequestID atomic.Uint64
	// lastStep is when the control machine last stepped, as ids.Time; its age shows a
	// freeze.
	lastStep atomic.Int64
	// configurationConfirmedAt is the control machine's, as ids.Time.
	configurationConfirmedAt atomic.Int64
	delayProbe               delayProbe
	stopping                 atomic.Bool
	// mu guards the map; each dispatcher has a lock of its own.
	mu          sync.RWMutex
	dispatchers map[ids.Name]*serviceDispatcher
}

// NewDaemon returns a proxy that is ready to Run.
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
	d.owner = process.NewOwner(&stepRecorder{control, d}, tickInterval, d.execute)
	d.transport = &process.Transport{
		Address: ids.Address(options.Address), Bind: ids.Address(options.Bind), Log: d.log, Stats: &process.TrafficStats{},
		Deliver: func(from ids.Address, msg any) { d.owner.Offer(event.Received{From: from, Message: msg}) },
	}
	d.configureProtocols()
	d.router.Store(newRouter(emptyConfiguration().View()))
	d.servingState.Store(&ServingState{})
	return d
}

// configureProtocols sets the frontend, and the connection pool as its target protocol
// needs it.
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

// stepRecorder records when the control machine last stepped, and how current its
// configuration was then.
type stepRecorder struct {
	*Control
	daemon *Daemon
}

func (r *stepRecorder) Step(now ids.Time, ev event.Event) []event.Command {
	// The commands of the step before have been carried out, so that the router has what was
	// confirmed in it.
	r.daemon.configurationConfirmedAt.Store(int64(r.Control.configurationConfirmedAt))
	if _, ok := ev.(probeReturned); ok {
		r.daemon.delayProbe.returned(now)
		return nil
	}
	commands := r.Control.Step(now, ev)
	r.daemon.lastStep.Store(int64(now))
	return commands
}

// execute carries out a command of the control machine.
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
