package simulator

import (
	"fmt"
	"io"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/state/configuration"
	"dunlinwell/internal/testsupport/blueprint"
	"dunlinwell/internal/testsupport/checker"
)

// Options are the options of a run; zero ones take the defaults.
type Options struct {
	Seed   uint64
	Plan   blueprint.Plan
	Length time.Duration
	// Rate of requests; FaultEvery is the mean gap between faults, and none
	// come where it is negative.
	Rate       float64
	FaultEvery time.Duration
	PlanEvery  time.Duration
	// Cost is what a request costs, in ms of CPU.
	Cost float64
	// Hot, if set, chooses the zone that a request begins in.
	Hot func(w *World, drawn ids.Name) ids.Name
	// Lease is the proxies' param of that name.
	Lease time.Duration
	// HoldConnectionsFor is how long clients hold a connection; zero for none.
	HoldConnectionsFor time.Duration
	// BriefConnectionShare is the share of clients that hold none all the same.
	BriefConnectionShare float64
	// Latency, if set, is the front-line latency of a proxy whose zone uses
	// so much CPU time.
	Latency func(used float64) time.Duration
	// Script, if set, brings faults about at set times instead of by lot.
	Script func(w *World)
	// EagerLosses lets the next core machine be lost once the core has been calm
	// for a while, whether or not the last loss is repaired.
	EagerLosses bool
	KeepLog     bool
	// StaleBootstrap leaves the setting of the first start where it was.
	StaleBootstrap bool
	// Replicas, if over 3, is how many stores there are to be.
	Replicas int
	// DiskSync, if set, is how long each sync of a disk takes.
	DiskSync time.Duration
	// LinkBits, if set, is how many bits a second a store sends, and takes in.
	LinkBits float64
	// Traces, if set, takes the recorded traces of processes, until TraceFor.
	Traces   map[string]io.Writer
	TraceFor time.Duration
	Defect   Defect
}

func (p *Options) fill() {
	if p.Plan.Name == "" {
		p.Plan = blueprint.Plans["small"]
	}
	if p.Length == 0 {
		p.Length = 60 * time.Second
	}
	if p.Rate == 0 {
		p.Rate = p.Plan.Rate
	}
	if p.FaultEvery == 0 {
		p.FaultEvery = 1500 * time.Millisecond
	}
	if p.PlanEvery == 0 {
		p.PlanEvery = 10 * time.Second
	}
	// Half of the clients hold their connections for a while, wherever a fault
	// leaves the proxy at the other end.
	if p.HoldConnectionsFor == 0 && p.FaultEvery > 0 {
		p.HoldConnectionsFor, p.BriefConnectionShare = 8*time.Second, 0.5
	}
	if p.Cost == 0 {
		p.Cost = 20
	}
}

// Outcome is what a run came to.
type Outcome struct {
	Seed       uint64
	Counts     []checker.RuleResult
	Violations int
	Sum        uint64
	Events     uint64
	Responses  map[string]int
	Changes    int
	Pruned     int
	// FaultCounts counts the faults that came by lot, by kind.
	FaultCounts map[string]int
	Log         []string
	// History is what callers saw of the configuration's register.
	History []Operation
}

// Replay is the command that plays a seed again.
func (o Outcome) Replay(plan, scene string, hot bool, length time.Duration) string {
	if hot {
		return fmt.Sprintf("testbed drill --hot --from %d --seeds 1 --trace", o.Seed)
	}
	if scene != "" {
		plan += " --scene " + scene
	}
	return fmt.Sprintf("testbed drill --plan %s --length %s --from %d --seeds 1 --trace", plan, length, o.Seed)
}

func (w *World) seeds() []ids.Address {
	return []ids.Address{"10.9.1.1:1", "10.9.1.2:1", "10.9.1.3:1"}
}

func (w *World) addProc(role membership.Role, name string, zone ids.Name, addr ids.Address) *process {
	p := &process{w: w, name: name, role: role, zone: zone, addr: addr, seeds: w.seeds()}
	if role == membership.Store {
		p.disk = newDisk(w)
	}
	w.procs = append(w.procs, p)
	w.processByAddress[addr] = p
	return p
}

// build lays the fleet out as testbed does.
func (w *World) build() {
	for i, role := range []membership.Role{membership.Store, membership.Registry, membership.Proxy} {
		n := 3
		if role == membership.Proxy {
			n = w.Plan.Proxies
		}
		for k := range n {
			p := w.addProc(role, fmt.Sprintf("%s-%d", role, k+1), w.Plan.Zone(k), ids.Address(fmt.Sprintf("10.9.%d.%d:1", i+1, k+1)))
			p.bootstrap = true
			w.later(w.between(0, 300*time.Millisecond), func() {
				p.boot()
				p.bootstrap = w.StaleBootstrap
			})
		}
	}
	for range w.Replicas - 3 {
		w.later(2500*time.Millisecond, func() { w.addStore(w.Plan.Zone(0)) })
	}
	n := 0
	for _, pool := range w.Plan.Pools {
		for i := range pool.Targets {
			t := &target{
				w: w, id: pool.Instance(i), service: pool.Service, zone: w.Plan.Zone(n), capacity: pool.Capacity,
				addr: ids.Address(fmt.Sprintf("10.9.9.%d:1", n+1)),
			}
			w.targets = append(w.targets, t)
			w.later(2*time.Second, func() { t.begin(false) })
			n++
		}
	}
}

// Run plays one seed: founding, load and faults, a quiet end, and the books.
func Run(p Options) Outcome {
	w := NewWorld(p)
	w.longLived.connections = map[string]longLivedConnection{}
	w.Checker.RetryAllowance = float64(w.Plan.Allowed())
	w.build()
	w.later(time.Second, func() { w.configuration() })
	w.until(ids.Time(6 * time.Second))
	w.arrivals()
	w.watchLosses()
	if w.FaultEvery > 0 {
		w.operate()
	}
	switch {
	case w.Script != nil:
		w.Script(w)
	case w.FaultEvery > 0:
		w.faultsByLot()
	}
	w.until(w.quiet())
	w.heal()
	w.until(w.quiet().Add(restoreWithin + 10*time.Second))
	w.longLived.stop, w.operators.stop = true, true
	w.until(w.now.Add(20 * time.Second))
	w.finishLedger("the day's end")
	w.until(w.now.Add(6 * time.Second))
	if w.FaultEvery > 0 {
		w.closing()
		w.until(w.now.Add(closingWait + restoreWithin))
		w.finishLedger("after the closing fault")
		w.until(w.now.Add(6 * time.Second))
	}
	return w.outcome()
}

func (w *World) outcome() Outcome {
	o := Outcome{
		Seed: w.Seed, Counts: w.Checker.Results(), Sum: w.sum, Events: w.Events, Responses: w.Checker.CountByClass(time.Unix(0, 0)),
		Changes: w.Checker.Changes(), Pruned: w.pruned, FaultCounts: w.faultCounts, Log: w.Log, History: w.history.operations(),
	}
	for _, c := range o.Counts {
		o.Violations += c.Violations
	}
	return o
}

// configuration sets the plan's configuration, as often as it takes.
func (w *World) configuration() {
	w.change(string(w.Plan.InitialChange()), func(configuration.Result) {})
}

// heal ends every fault, as when the machines are back.
func (w *World) heal() {
	w.trace("the machines are back")
	w.recoveredAt = w.now
	w.Checker.MachinesRecovered(w.clock())
	w.cuts, w.answerLoss = nil, 0
	w.atAck, w.atChange = nil, nil
	w.network = networkConditions{jitter: time.Millisecond}
	for _, p := range w.procs {
		if p.disk != nil {
			p.disk.stalled, p.disk.slow = false, 0
		}
		switch {
		case p.lost:
		case !p.up:
			p.boot()
		case p.frozen:
			p.wake()
		}
	}
	for _, t := range w.targets {
		t.silentShare, t.corruptShare = 0, 0
		if t.leaving {
			t.crash()
		}
		w.again(t)
	}
	w.refill()
}
