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
	MaxResponse int           `help:"Largest answer of a target that is taken, in bytes." default:"4194304" name:"max-response"`
	ReportEvery time.Duration `help:"How often CPU time is reported." default:"2s" name:"report-every"`
	Queue       int           `help:"Longest inbox of a service." default:"128" name:"inbox"`
	Lease       time.Duration `help:"How long requests are served by a policy and targets that can't be confirmed, 2s to 3s." default:"2500ms" name:"lease"`
	Clients     string        `help:"Where consumers come in, if not at --http." placeholder:"IP:PORT" name:"consumers"`
	MaxHeld     int           `help:"Most bytes of bodies and answers that are kept at once; what doesn't fit is declined." default:"268435456" name:"max-held"`
	Grace       time.Duration `help:"How long held requests may go on after the polite signal." default:"1700ms" name:"grace"`
	DialWithin  time.Duration `help:"How long a circuit to a target may take to open." default:"1s" name:"dial-within"`
	// Edge is the dialect spoken to clients and targets; nil for our own.
	Edge Frontend `kong:"-"`
	// Layout is how targets' places are shared out, and Regions those of zones.
	Layout
}

// Validate checks what the common options don't cover.
func (p *DaemonOptions) Validate() error {
	// Shorter than a few of the registries's rounds it would end by itself; longer
	// a change would be in force too late.
	if p.Lease != Endless && (p.Lease < 2*time.Second || p.Lease > 3*time.Second) {
		return errs.New("read params", "", "--lease: must be from 2s to 3s")
	}
	return p.Common.Validate()
}

// Daemon is a proxy as a process.
type Daemon struct {
	Options     DaemonOptions
	self        membership.Member
	log         *process.Log
	owner       *process.Owner
	post        *process.Transport
	connections connections
	hold        hold
	trade       TargetProtocol
	edge        Frontend
	gate        *gate
	meter       *meter
	router      atomic.Pointer[router]
	footing     atomic.Pointer[ServingState]
	requests    atomic.Uint64
	// beat is when the owner last stepped: a freeze shows as its age.
	beat        atomic.Int64
	emptied     atomic.Bool
	stopping    atomic.Bool
	mu          sync.RWMutex
	dispatchers map[ids.Name]*place
}

// place is a dispatcher under its own short lock, with the requests it has in hand.
type place struct {
	mu         sync.Mutex
	dispatcher *dispatch.Dispatcher
	cargo      map[ids.RequestID]*ride
	// soon: a clock event is on its way, for requests that wait.
	soon bool
}

type ride struct {
	*ClientRequest
	response  chan dispatch.Response
	forwarded time.Duration
}

// NewDaemon puts a proxy together.
func NewDaemon(p DaemonOptions) *Daemon {
	d := &Daemon{Options: p, log: process.NewLog(p.LogLevel, p.Name), meter: newMeter(), dispatchers: map[ids.Name]*place{}}
	d.hold.most = int64(cmp.Or(p.MaxHeld, defaultHeld))
	d.self = daemon.NewMember(p.Common, membership.Proxy)
	d.self.ClientListen = ids.Address(p.Clients)
	control := New(membership.Options{Self: d.self, Seeds: p.SeedAddresses(), Incremental: p.ByZone}, ControlOptions{Lease: p.Lease, Layout: p.Layout})
	d.owner = process.NewOwner(&beating{control, d}, 50*time.Millisecond, d.do)
	d.post = &process.Transport{
		Address: ids.Address(p.Address), Bind: ids.Address(p.Bind), Log: d.log, Stats: &process.TrafficStats{},
		Deliver: func(from ids.Address, msg any) { d.owner.Offer(event.Received{From: from, Msg: msg}) },
	}
	if a, err := netip.ParseAddrPort(p.HTTPListenAddress()); err == nil {
		d.connections.from = net.IP(a.Addr().AsSlice())
	}
	d.edge, d.trade = p.Edge, house{d}
	if d.edge == nil {
		d.edge = ownEdge{d}
	} else {
		d.trade = d.edge.TargetProtocol()
	}
	d.connections.greets, d.connections.dialWithin = d.trade.Greets(), cmp.Or(p.DialWithin, dialTarget)
	empty, _ := configuration.Decode(nil)
	d.router.Store(newRouter(empty.View()))
	d.footing.Store(&ServingState{})
	return d
}

// beating notes each step, so that others can tell a freeze.
type beating struct {
	event.Machine
	d *Daemon
}

func (b *beating) Step(now ids.Time, ev event.Event) []event.Command {
	out := b.Machine.Step(now, ev)
	b.d.beat.Store(int64(now))
	return out
}

// do carries out a command of the control machine.
func (d *Daemon) do(c event.Command) {
	switch c := c.(type) {
	case event.Send:
		d.post.Send(c.To, c.Msg)
	case event.LogEntry:
		d.log.WriteEntry(c)
	case event.Discarded:
		d.post.Discard(c)
	case DispatchEvent:
		d.hand(c.Service, c.Event)
	case Routes:
		d.router.Store(newRouter(c.View))
		if g := d.gate; g != nil {
			g.limit(c.View.Limits)
		}
	case ServingState:
		d.emptied.Store(c.Emptied)
		d.footing.Store(&c)
	}
}

// waitTick is how often a dispatcher looks again at what waits.
const waitTick = 15 * time.Millisecond

// at gives a service's dispatcher.
func (d *Daemon) at(service ids.Name) *place {
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
		p = &place{dispatcher: dispatch.New(dispatch.Options{Random: random, Queue: d.Options.Queue, Self: idempotency.Owner{Daemon: d.self.ID, RunID: d.self.RunID}}), cargo: map[ids.RequestID]*ride{}}
		d.dispatchers[service] = p
	}
	return p
}

// hand gives an event to a dispatcher, and carries its commands out unlocked.
func (d *Daemon) hand(service ids.Name, ev event.Event) {
	p := d.at(service)
	p.mu.Lock()
	out := p.dispatcher.Step(process.Now(), ev)
	loads := make([]*ride, len(out))
	for i, c := range out {
		switch c := c.(type) {
		case dispatch.Forward:
			loads[i] = p.cargo[c.ID]
		case dispatch.Response:
			loads[i] = p.cargo[c.ID]
			delete(p.cargo, c.ID)
		}
	}
	waits := p.dispatcher.Waiting() > 0 && !p.soon
	p.soon = p.soon || waits
	p.mu.Unlock()
	if waits {
		// What waits may reach further, or has waited long enough, before the
		// ordinary clock comes round.
		time.AfterFunc(waitTick, func() {
			p.mu.Lock()
			p.soon = false
			p.mu.Unlock()
			d.hand(service, event.Tick{})
		})
	}
	for i, c := range out {
		d.perform(service, c, loads[i])
	}
}

func (d *Daemon) perform(service ids.Name, c event.Command, l *ride) {
	switch c := c.(type) {
	case dispatch.IdempotencyCall:
		// The owner hands events to dispatchers itself, so it must not wait on its
		// own queue.
		go d.owner.Put(IdempotencyRequest{service, c})
	case dispatch.Forward:
		go func() {
			from := time.Now()
			back := d.carry(l.ClientRequest, c)
			l.forwarded += time.Since(from)
			d.hand(service, back)
		}()
	case dispatch.Response:
		l.response <- c
	}
}

// Work takes a request through its dispatcher. A client that hangs up, or closes
// its own side of the connection, changes nothing: its request goes on, its mark is
// not freed, and the one answer is written, whether or not anybody reads it.
func (d *Daemon) Work(c *ClientRequest) (dispatch.Response, time.Duration) {
	l := &ride{ClientRequest: c, response: make(chan dispatch.Response, 1)}
	p := d.at(c.Job.Service)
	p.mu.Lock()
	p.cargo[c.Job.ID] = l
	p.mu.Unlock()
	d.hand(c.Job.Service, dispatch.RequestArrived{Job: c.Job})
	return <-l.response, l.forwarded
}
