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

// process is one simulated daemon process. It runs the daemon's real state machine and executes its
// commands in virtual time.
type process struct {
	world   *World
	name    string
	role    membership.Role
	zone    ids.Name
	address ids.Address
	up      bool
	frozen  bool
	// generation counts the runs of the process, so that events scheduled in one run are dropped in
	// the next.
	generation int
	startedAt  ids.Time
	// clockOffset is the error of the wall clock.
	clockOffset time.Duration
	machine     event.StateMachine
	backlog     []func()
	disk        *disk
	random      *rand.Rand
	runID       ids.RunID
	dispatchers *dispatchers
	calls       map[uint64]func(registry.Response)
	nextID      uint64
	// removed is set once the machine has been replaced; the process doesn't start again.
	removed bool
	// bootstrap is the setting that permits a store to bootstrap at its next start.
	bootstrap bool
	// impairedAt is the last time at which the store was impaired.
	impairedAt ids.Time
	// seeds are the seed addresses in the settings for the next start.
	seeds []ids.Address
	// linkOut and linkIn are when the process's links will have sent and received all queued
	// messages.
	linkOut, linkIn ids.Time
	// cpuMillis is the CPU time used in all runs, in milliseconds.
	cpuMillis float64
}

// The intervals of timer ticks are those of the daemons.
const (
	dispatcherTick = 20 * time.Millisecond
	controlTick    = 50 * time.Millisecond
)

// socketBacklog is how many events the sockets of a frozen process buffer; further ones are lost.
const socketBacklog = 500

// now returns the process's monotonic time, which also advances while it is frozen.
func (p *process) now() ids.Time { return p.world.now - p.startedAt + 1 }

// scheduleInRun schedules f within this run of the process. If the process is frozen by then, f
// runs when it resumes; if it was killed, f never runs.
func (p *process) scheduleInRun(d time.Duration, f func()) {
	generation := p.generation
	p.world.schedule(d, func() {
		switch {
		case p.generation != generation || !p.up:
		case p.frozen:
			p.backlog = append(p.backlog, f)
		default:
			f()
		}
	})
}

// deliver passes an event to the machine. A frozen process receives it when it resumes, unless its
// socket backlog is full.
func (p *process) deliver(ev event.Event) {
	if !p.up {
		return
	}
	if p.frozen {
		if len(p.backlog) < socketBacklog {
			generation := p.generation
			p.backlog = append(p.backlog, func() {
				if p.generation == generation {
					p.deliver(ev)
				}
			})
		}
		return
	}
	p.execute(p.machine.Step(p.now(), ev))
}

// execute executes the commands of a step.
func (p *process) execute(commands []event.Command) {
	for _, command := range commands {
		switch command := command.(type) {
		case event.Send:
			p.world.send(p, command.To, command.Message)
		case event.LogEntry:
			p.world.trace("%s %s %v", p.name, command.Event, command.Fields)
		case event.Sync:
			p.disk.sync(p, command)
		case store.Retire:
			p.scheduleInRun(0, p.restartBlank)
		case registry.Response:
			if respond := p.calls[command.ID]; respond != nil {
				delete(p.calls, command.ID)
				respond(command)
			}
		case store.MayStop:
			p.kill()
			return
		case store.RecoverResponse:
			p.world.trace("%s answers the recovery request: %q", p.name, command.Rejection)
		default:
			p.dispatchers.executeControl(command)
		}
	}
}

// start begins a new run of the process.
func (p *process) start() {
	p.generation++
	p.up, p.frozen, p.backlog = true, false, nil
	p.startedAt = p.world.now
	header := TraceHeader{Random: [2]uint64{p.world.random.Uint64(), p.world.random.Uint64()}, PlanEvery: p.world.PlanEvery, Lease: p.world.Lease}
	p.random = rand.New(rand.NewPCG(header.Random[0], header.Random[1]))
	p.runID = ids.RunID(p.world.random.Uint64()>>24 | 1)
	p.calls = map[uint64]func(registry.Response){}
	wall := time.Hour + time.Duration(p.world.now) + p.clockOffset
	self := membership.Member{
		ID: ids.DaemonID(p.name), Role: p.role, Address: p.address, HTTPAddress: p.address, Zone: p.zone,
		RunID: p.runID, Incarnation: ids.Incarnation(max(wall.Milliseconds(), 1)),
	}
	header.Membership = membership.Options{Self: self, Seeds: p.seeds}
	tickEvery := p.makeMachine(&header)
	p.record(header)
	p.world.trace("%s starts", p.name)
	p.scheduleTicks(tickEvery)
}

// makeMachine creates the state machine for the process's role, completes the trace header and
// returns the interval of timer ticks.
func (p *process) makeMachine(header *TraceHeader) time.Duration {
	membershipOptions := header.Membership
	switch p.role {
	case membership.Store:
		p.disk.open(p)
		header.StoreID, header.RunNumber, header.Bootstrap = p.disk.storeID, p.disk.runNumber, p.bootstrap
		machine := store.New(store.Options{Options: membershipOptions, StoreID: p.disk.storeID, RunNumber: p.disk.runNumber, Storage: p.disk, Random: p.random, Bootstrap: p.bootstrap, Replicas: p.world.Replicas})
		if p.world.Defect.ReplacedOps != nil {
			machine.ReplaceOps(p.world.Defect.ReplacedOps)
		}
		p.machine = machine
		return dispatcherTick
	case membership.Registry:
		p.machine = registry.New(registry.Options{
			Options: membershipOptions, Random: p.random, PlanInterval: p.world.PlanEvery,
			ControlLease: p.world.Defect.ControlLease,
		})
	default:
		control := proxy.New(membershipOptions, proxy.ControlOptions{Lease: p.world.Lease})
		p.machine = control
		p.dispatchers = newDispatchers(p, control)
	}
	return controlTick
}

// scheduleTicks delivers timer ticks at an interval while the process runs.
func (p *process) scheduleTicks(every time.Duration) {
	p.scheduleInRun(every, func() {
		if p.dispatchers != nil {
			p.dispatchers.tick()
		}
		p.deliver(event.Tick{})
		p.scheduleTicks(every)
	})
}

// kill ends the run at once. Records that were not synced are lost.
func (p *process) kill() {
	if !p.up {
		return
	}
	p.world.trace("%s is killed", p.name)
	p.up = false
	p.generation++
	if p.disk != nil {
		p.disk.crash()
	}
	if p.dispatchers != nil {
		p.dispatchers.dropRequests()
	}
}

// freeze suspends the process for a duration, like SIGSTOP or a paused virtual machine.
func (p *process) freeze(d time.Duration) {
	if !p.up || p.frozen {
		return
	}
	p.world.trace("%s freezes for %s", p.name, d)
	p.frozen = true
	generation := p.generation
	p.world.schedule(d, func() {
		if p.generation == generation && p.up {
			p.unfreeze()
		}
	})
}

// unfreeze resumes the process and handles its backlog.
func (p *process) unfreeze() {
	p.world.trace("%s resumes", p.name)
	p.frozen = false
	backlog := p.backlog
	p.backlog = nil
	for i, f := range backlog {
		if p.frozen {
			p.backlog = append(p.backlog, backlog[i:]...)
			return
		}
		f()
	}
}
