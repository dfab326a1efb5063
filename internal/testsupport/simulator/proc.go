package simulator

import (
	"math/rand/v2"
	"time"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/registry"
	"dunlinwell/internal/controlplane/store"
	"dunlinwell/internal/dataplane/proxy"
)

// process is one simulated process. Its machine is a real one.
type process struct {
	w           *World
	name        string
	role        membership.Role
	zone        ids.Name
	addr        ids.Address
	up          bool
	frozen      bool
	generation  int
	born        ids.Time
	wall        time.Duration
	machine     event.Machine
	backlog     []func()
	disk        *disk
	random      *rand.Rand
	runID       ids.RunID
	dispatchers *dispatchers
	calls       map[uint64]func(registry.Response)
	nextID      uint64
	// lost processes don't come back: their machine was replaced.
	lost bool
	// bootstrap: the settings call the next start the fleet's first one.
	bootstrap bool
	// impairedAt is when it last counted as lost.
	impairedAt ids.Time
	// seeds are as they were set when the machine was put up.
	seeds []ids.Address
	// linkOut and linkIn are when what is under way there has passed.
	linkOut, linkIn ids.Time
	// total is the CPU time that the machine's runs have spent, in ms.
	total float64
}

const (
	dispatcherTick = 20 * time.Millisecond
	controlTick    = 50 * time.Millisecond
)

// now is the process's own monotonic time, which goes on while it is frozen.
func (p *process) now() ids.Time { return p.w.now - p.born + 1 }

// later does something in this run of the process; a frozen one does it when
// it wakes, one that was killed never.
func (p *process) later(d time.Duration, f func()) {
	gen := p.generation
	p.w.later(d, func() {
		switch {
		case p.generation != gen || !p.up:
		case p.frozen:
			p.backlog = append(p.backlog, f)
		default:
			f()
		}
	})
}

// take hands an event to the machine.
func (p *process) take(ev event.Event) {
	if !p.up {
		return
	}
	if p.frozen {
		// What fits into the sockets waits; the rest is lost.
		if len(p.backlog) < 500 {
			gen := p.generation
			p.backlog = append(p.backlog, func() {
				if p.generation == gen {
					p.take(ev)
				}
			})
		}
		return
	}
	p.perform(p.machine.Step(p.now(), ev))
}

func (p *process) perform(out []event.Command) {
	for _, c := range out {
		switch c := c.(type) {
		case event.Send:
			p.w.send(p, c.To, c.Msg)
		case event.LogEntry:
			p.w.trace("%s %s %v", p.name, c.Event, c.Fields)
		case event.Sync:
			p.disk.sync(p, c)
		case store.Retire:
			p.later(0, p.startBlank)
		case registry.Response:
			if f := p.calls[c.ID]; f != nil {
				delete(p.calls, c.ID)
				f(c)
			}
		case store.MayStop:
			p.kill()
			return
		case store.RecoverResponse:
			p.w.trace("%s answers the order to recover: %q", p.name, c.Rejection)
		default:
			p.dispatchers.perform(c)
		}
	}
}

// boot starts a new run of the process.
func (p *process) boot() {
	p.generation++
	p.up, p.frozen, p.backlog = true, false, nil
	p.born = p.w.now
	h := TraceHeader{Random: [2]uint64{p.w.random.Uint64(), p.w.random.Uint64()}, PlanEvery: p.w.PlanEvery, Lease: p.w.Lease}
	p.random = rand.New(rand.NewPCG(h.Random[0], h.Random[1]))
	p.runID = ids.RunID(p.w.random.Uint64()>>24 | 1)
	p.calls = map[uint64]func(registry.Response){}
	wall := time.Hour + time.Duration(p.w.now) + p.wall
	self := membership.Member{
		ID: ids.DaemonID(p.name), Role: p.role, Address: p.addr, HTTP: p.addr, Zone: p.zone,
		RunID: p.runID, Incarnation: ids.Incarnation(max(wall.Milliseconds(), 1)),
	}
	roll := membership.Options{Self: self, Seeds: p.seeds}
	h.Roll = roll
	beat := controlTick
	switch p.role {
	case membership.Store:
		p.disk.open(p)
		h.Store, h.Run, h.Bootstrap = p.disk.store, p.disk.run, p.bootstrap
		s := store.New(store.Options{Options: roll, StoreID: p.disk.store, RunNumber: p.disk.run, Storage: p.disk, Random: p.random, Bootstrap: p.bootstrap, Replicas: p.w.Replicas})
		if p.w.Defect.Ops != nil {
			s.ReplaceOps(p.w.Defect.Ops)
		}
		p.machine, beat = s, dispatcherTick
	case membership.Registry:
		p.machine = registry.New(registry.Options{
			Options: roll, Random: p.random, PlanEvery: p.w.PlanEvery,
			ControlLease: p.w.Defect.ControlLease,
		})
	default:
		c := proxy.New(roll, proxy.ControlOptions{Lease: p.w.Lease})
		p.machine = c
		p.dispatchers = newDispatchers(p, c)
	}
	p.record(h)
	p.w.trace("%s starts", p.name)
	p.beat(beat)
}

func (p *process) beat(every time.Duration) {
	p.later(every, func() {
		if p.dispatchers != nil {
			p.dispatchers.beat()
		}
		p.take(event.Tick{})
		p.beat(every)
	})
}

// kill ends the run at once; what the disk had not synced is gone.
func (p *process) kill() {
	if !p.up {
		return
	}
	p.w.trace("%s is killed", p.name)
	p.up = false
	p.generation++
	if p.disk != nil {
		p.disk.crash()
	}
	if p.dispatchers != nil {
		p.dispatchers.dropAll()
	}
}

func (p *process) freeze(d time.Duration) {
	if !p.up || p.frozen {
		return
	}
	p.w.trace("%s freezes for %s", p.name, d)
	p.frozen = true
	gen := p.generation
	p.w.later(d, func() {
		if p.generation == gen && p.up {
			p.wake()
		}
	})
}

func (p *process) wake() {
	p.w.trace("%s wakes", p.name)
	p.frozen = false
	list := p.backlog
	p.backlog = nil
	for i, f := range list {
		if p.frozen {
			p.backlog = append(p.backlog, list[i:]...)
			return
		}
		f()
	}
}
