package proxy

import (
	"cmp"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"dunlinwell/internal/app/daemon"
	"dunlinwell/internal/base/errs"
	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/base/settings"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/dataplane/dispatch"
	"dunlinwell/internal/state/configuration"
	"dunlinwell/internal/state/idempotency"
	"dunlinwell/internal/transport/process"
)

// DaemonOptions are what a proxy is told at its start.
type DaemonOptions struct {
	settings.Common
	MaxResponseBytes int           `help:"Largest answer of a target that is taken, in bytes." default:"4194304" name:"max-response"`
	ReportInterval   time.Duration `help:"How often CPU time is reported." default:"2s" name:"report-every"`
	MaxQueueLength   int           `help:"Longest inbox of a service." default:"128" name:"inbox"`
	Lease            time.Duration `help:"How long requests are served by a policy and targets that can't be confirmed, 2s to 3s." default:"2500ms" name:"lease"`
	ClientListen     string        `help:"Where consumers come in, if not at --http." placeholder:"IP:PORT" name:"consumers"`
	MemoryLimit      int           `help:"Most bytes of bodies and answers that are kept at once; what doesn't fit is declined." default:"268435456" name:"max-held"`
	GracePeriod      time.Duration `help:"How long held requests may go on after the polite signal." default:"1700ms" name:"grace"`
	DialTimeout      time.Duration `help:"How long a circuit to a target may take to open." default:"1s" name:"dial-within"`
	// Frontend is the dialect spoken to clients and targets; nil for our own.
	Frontend Frontend `kong:"-"`
	// Layout is how targets' places are shared out, and Regions those of zones.
	SlotLayout
}

// Validate checks what the common options don't cover.
func (o *DaemonOptions) Validate() error {
	// Shorter than a few of the registries's rounds it would end by itself; longer
	// a change would be in force too late.
	if o.Lease != EndlessLease && (o.Lease < 2*time.Second || o.Lease > 3*time.Second) {
		return errs.New("read params", "", "--lease: must be from 2s to 3s")
	}
	return o.Common.Validate()
}

// Daemon is a proxy as a process.
type Daemon struct {
	Options        DaemonOptions
	self           membership.Member
	log            *process.Log
	owner          *process.Owner
	transport      *process.Transport
	pool           connectionPool
	memory         memoryBudget
	targetProtocol TargetProtocol
	frontend       Frontend
	clientListener *clientListener
	meter          *usageMeter
	router         atomic.Pointer[router]
	servingState   atomic.Pointer[ServingState]
	lastRequestID  atomic.Uint64
	// lastStep is when the owner last stepped: a freeze shows as its age.
	lastStep    atomic.Int64
	zoneDrained atomic.Bool
	stopping    atomic.Bool
	mu          sync.RWMutex
	dispatchers map[ids.Name]*serviceDispatcher
}

// serviceDispatcher is a dispatcher under its own short lock, with the requests it has in hand.
type serviceDispatcher struct {
	mu         sync.Mutex
	dispatcher *dispatch.Dispatcher
	requests   map[ids.RequestID]*pendingRequest
	// soon: a clock event is on its way, for requests that wait.
	tickPending bool
}

type pendingRequest struct {
	*ClientRequest
	response    chan dispatch.Response
	forwardTime time.Duration
}

// NewDaemon puts a proxy together.
func NewDaemon(options DaemonOptions) *Daemon {
	d := &Daemon{Options: options, log: process.NewLog(options.LogLevel, options.Name), meter: newUsageMeter(), dispatchers: map[ids.Name]*serviceDispatcher{}}
	d.memory.limit = int64(cmp.Or(options.MemoryLimit, defaultMemoryLimit))
	d.self = daemon.NewMember(options.Common, membership.Proxy)
	d.self.ClientListen = ids.Address(options.ClientListen)
	control := New(membership.Options{Self: d.self, Seeds: options.SeedAddresses(), Incremental: options.ByZone}, ControlOptions{Lease: options.Lease, SlotLayout: options.SlotLayout})
	d.owner = process.NewOwner(&stepRecorder{control, d}, 50*time.Millisecond, d.execute)
	d.transport = &process.Transport{
		Address: ids.Address(options.Address), Bind: ids.Address(options.Bind), Log: d.log, Stats: &process.TrafficStats{},
		Deliver: func(from ids.Address, msg any) { d.owner.Offer(event.Received{From: from, Msg: msg}) },
	}
	if a, err := netip.ParseAddrPort(options.HTTPListenAddress()); err == nil {
		d.pool.localIP = net.IP(a.Addr().AsSlice())
	}
	d.frontend, d.targetProtocol = options.Frontend, nativeTargetProtocol{d}
	if d.frontend == nil {
		d.frontend = nativeFrontend{d}
	} else {
		d.targetProtocol = d.frontend.TargetProtocol()
	}
	d.pool.verifyIdentity, d.pool.dialTimeout = d.targetProtocol.VerifiesIdentity(), cmp.Or(options.DialTimeout, defaultDialTimeout)
	empty, _ := configuration.Decode(nil)
	d.router.Store(newRouter(empty.View()))
	d.servingState.Store(&ServingState{})
	return d
}

// stepRecorder notes each step, so that others can tell a freeze.
type stepRecorder struct {
	event.Machine
	daemon *Daemon
}

func (r *stepRecorder) Step(now ids.Time, ev event.Event) []event.Command {
	out := r.Machine.Step(now, ev)
	r.daemon.lastStep.Store(int64(now))
	return out
}

// execute carries out a command of the control machine.
func (d *Daemon) execute(c event.Command) {
	switch c := c.(type) {
	case event.Send:
		d.transport.Send(c.To, c.Msg)
	case event.LogEntry:
		d.log.WriteEntry(c)
	case event.Discarded:
		d.transport.Discard(c)
	case DispatchEvent:
		d.stepDispatcher(c.Service, c.Event)
	case UpdateRoutes:
		d.router.Store(newRouter(c.View))
		if g := d.clientListener; g != nil {
			g.setLimits(c.View.Limits)
		}
	case ServingState:
		d.zoneDrained.Store(c.ZoneDrained)
		d.servingState.Store(&c)
	}
}

// waitingTickDelay is how often a dispatcher looks again at what waits.
const waitingTickDelay = 15 * time.Millisecond

// dispatcherOf gives a service's dispatcher.
func (d *Daemon) dispatcherOf(service ids.Name) *serviceDispatcher {
	d.mu.RLock()
	p := d.dispatchers[service]
	d.mu.RUnlock()
	if p != nil {
		return p
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if p = d.dispatchers[service]; p == nil {
		random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
		p = &serviceDispatcher{dispatcher: dispatch.New(dispatch.Options{Random: random, QueueLimit: d.Options.MaxQueueLength, Self: idempotency.Owner{Daemon: d.self.ID, RunID: d.self.RunID}}), requests: map[ids.RequestID]*pendingRequest{}}
		d.dispatchers[service] = p
	}
	return p
}

// stepDispatcher gives an event to a dispatcher, and carries its commands out unlocked.
func (d *Daemon) stepDispatcher(service ids.Name, ev event.Event) {
	p := d.dispatcherOf(service)
	p.mu.Lock()
	out := p.dispatcher.Step(process.Now(), ev)
	loads := make([]*pendingRequest, len(out))
	for i, c := range out {
		switch c := c.(type) {
		case dispatch.Forward:
			loads[i] = p.requests[c.ID]
		case dispatch.Response:
			loads[i] = p.requests[c.ID]
			delete(p.requests, c.ID)
		}
	}
	waits := p.dispatcher.QueueLength() > 0 && !p.tickPending
	p.tickPending = p.tickPending || waits
	p.mu.Unlock()
	if waits {
		// What waits may reach further, or has waited long enough, before the
		// ordinary clock comes round.
		time.AfterFunc(waitingTickDelay, func() {
			p.mu.Lock()
			p.tickPending = false
			p.mu.Unlock()
			d.stepDispatcher(service, event.Tick{})
		})
	}
	for i, c := range out {
		d.executeDispatch(service, c, loads[i])
	}
}

func (d *Daemon) executeDispatch(service ids.Name, c event.Command, l *pendingRequest) {
	switch c := c.(type) {
	case dispatch.IdempotencyCall:
		// The owner hands events to dispatchers itself, so it must not wait on its
		// own queue.
		go d.owner.Put(IdempotencyRequest{service, c})
	case dispatch.Forward:
		go func() {
			from := time.Now()
			back := d.forward(l.ClientRequest, c)
			l.forwardTime += time.Since(from)
			d.stepDispatcher(service, back)
		}()
	case dispatch.Response:
		l.response <- c
	}
}

// Dispatch takes a request through its dispatcher. A client that hangs up, or closes
// its own side of the connection, changes nothing: its request goes on, its mark is
// not freed, and the one answer is written, whether or not anybody reads it.
func (d *Daemon) Dispatch(c *ClientRequest) (dispatch.Response, time.Duration) {
	l := &pendingRequest{ClientRequest: c, response: make(chan dispatch.Response, 1)}
	p := d.dispatcherOf(c.Job.Service)
	p.mu.Lock()
	p.requests[c.Job.ID] = l
	p.mu.Unlock()
	d.stepDispatcher(c.Job.Service, dispatch.RequestArrived{Job: c.Job})
	return <-l.response, l.forwardTime
}
