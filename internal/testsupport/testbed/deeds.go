package testbed

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"dunlinwell/internal/base/ids"
)

// RunScript carries a script out, and gives how long the fleet took to be whole
// again after the last thing that was broken came back.
func (tb *Testbed) RunScript(ctx context.Context, script *Script) {
	var all sync.WaitGroup
	from := time.Now()
	for _, step := range script.Steps {
		all.Go(func() {
			if !sleepContext(ctx, time.Until(from.Add(time.Duration(step.At)))) {
				return
			}
			fmt.Fprintf(tb.Out, "%7.1fs %s %s for %s\n", time.Since(from).Seconds(), step.Action, step.Subject, step.For)
			tb.runStep(ctx, step)
		})
	}
	all.Wait()
	tb.Checker.MachinesRecovered(time.Now())
	took, err := tb.AwaitReady(ctx, 30*time.Second)
	fmt.Fprintf(tb.Out, "%7.1fs every daemon ready %s after the last machine was back\n", time.Since(from).Seconds(), took.Round(time.Millisecond))
	if err != nil {
		tb.Checker.Violation("not whole again: %v", err)
	} else if took > 15*time.Second {
		tb.Checker.Violation("whole again only after %s", took)
	}
}

func sleepContext(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (tb *Testbed) runStep(ctx context.Context, step Step) {
	hold := func() { sleepContext(ctx, time.Duration(step.For)) }
	switch step.Action {
	case "kill", "stop", "freeze":
		tb.faultProcesses(step, tb.MachineProcesses(step.Subject), hold)
	case "cut", "cut-in", "cut-out", "split":
		tb.partitionNetwork(step, hold)
	case "swap-core":
		tb.replaceCoreMachine(step.Subject)
	case "herd":
		tb.powerOff(func(p *Process) bool { return p.Role == step.Subject }, func(*Target) bool { return false }, step, hold)
	case "lose-cell", "lose-region":
		zones := zonesOf(tb.Plan, step.Subject)
		tb.powerOff(func(p *Process) bool { return slices.Contains(zones, p.Zone) }, func(t *Target) bool { return slices.Contains(zones, t.Zone) }, step, hold)
	case "empty":
		tb.drainZone(ids.Name(step.Subject), hold)
	case "storm":
		tb.operators.SendBurst(ctx, step.Count, time.Duration(step.For))
	case "hot":
		zone := ids.Name(step.Subject)
		tb.clients.hotZone.Store(&zone)
		hold()
		tb.clients.hotZone.Store(nil)
	case "stall-disk":
		for _, p := range tb.MachineProcesses(step.Subject) {
			tb.stallDisk(ctx, p, time.Duration(step.For))
		}
	default:
		tb.faultTarget(step, tb.findTarget(step.Subject), hold)
	}
}

// markAllImpaired excuses the connections of processes that a fault is done to.
func (tb *Testbed) markAllImpaired(list []*Process, step Step) {
	for _, p := range list {
		tb.MarkImpaired(p, time.Now().Add(time.Duration(step.For)+impairmentGrace))
	}
}

// impairmentGrace is how long after a fault its connections may still be found dead.
const impairmentGrace = 10 * time.Second

func (tb *Testbed) faultProcesses(step Step, list []*Process, hold func()) {
	tb.markAllImpaired(list, step)
	var all sync.WaitGroup
	for _, p := range list {
		all.Go(func() {
			switch step.Action {
			case "freeze":
				tb.Signal(p, syscall.SIGSTOP)
			case "kill":
				tb.Kill(p)
			default:
				if took := tb.Stop(p); took > 2500*time.Millisecond {
					tb.Checker.Violation("%s took %s to stop", p.Name, took)
				}
			}
		})
	}
	all.Wait()
	hold()
	for _, p := range list {
		if step.Action == "freeze" {
			tb.Signal(p, syscall.SIGCONT)
		} else {
			tb.restart(p)
		}
	}
}

// partitionNetwork takes machines off the net: all that they send or get, or one way. A
// split keeps what is on one side together.
func (tb *Testbed) partitionNetwork(step Step, hold func()) {
	in := map[string]bool{}
	for _, name := range strings.Split(step.Subject, "+") {
		for ip := range tb.ipsOf(name) {
			in[ip] = true
		}
	}
	c := &Partition{Blocks: func(from, to string) bool {
		return step.Action != "cut-in" && in[from] && !in[to] || step.Action != "cut-out" && in[to] && !in[from]
	}}
	if step.Action == "split" {
		tb.markAllImpaired(tb.snapshot(), step)
	} else {
		tb.markAllImpaired(tb.MachineProcesses(step.Subject), step)
	}
	// A target whose word doesn't get out counts as gone.
	var unheard []*Target
	for _, t := range tb.Targets {
		if step.Action != "cut-in" && in[ipOf(t.Address)] && step.Action != "split" {
			unheard = append(unheard, t)
			t.SetUnreachable(true)
		}
	}
	tb.relay.StartPartition(c)
	hold()
	tb.relay.EndPartition(c)
	for _, t := range unheard {
		t.SetUnreachable(false)
	}
}

// replaceCoreMachine loses a core machine for good and puts up a blank one.
func (tb *Testbed) replaceCoreMachine(name string) {
	tb.restartLock.Lock()
	defer tb.restartLock.Unlock()
	if err := tb.ReplaceMachine(name); err != nil {
		tb.Checker.Violation("swap %s: %v", name, err)
	}
}

// restart starts a process again unless it runs or was replaced.
func (tb *Testbed) restart(p *Process) {
	tb.restartLock.Lock()
	defer tb.restartLock.Unlock()
	if p.Stopped && !p.Replaced {
		if err := tb.StartProcess(p); err != nil {
			tb.Checker.Violation("start %s: %v", p.Name, err)
		}
	}
}

// powerOff takes the power from daemons and targets, and gives it back.
func (tb *Testbed) powerOff(procs func(*Process) bool, targets func(*Target) bool, step Step, hold func()) {
	var stopped []*Process
	var stoppedTargets []*Target
	tb.restartLock.Lock()
	for _, p := range tb.snapshot() {
		if procs(p) && !p.Replaced && !p.Stopped {
			stopped = append(stopped, p)
		}
	}
	tb.restartLock.Unlock()
	tb.markAllImpaired(stopped, step)
	for _, t := range tb.Targets {
		if targets(t) {
			stoppedTargets = append(stoppedTargets, t)
			t.Crash()
		}
	}
	var all sync.WaitGroup
	for _, p := range stopped {
		all.Go(func() { tb.Kill(p) })
	}
	all.Wait()
	hold()
	for _, p := range stopped {
		tb.restart(p)
	}
	for _, t := range stoppedTargets {
		if err := t.Start(true); err != nil {
			tb.Checker.Violation("start %s: %v", t.Instance, err)
		}
	}
}

// drainZone empties a zone for a while, through any daemon.
func (tb *Testbed) drainZone(c ids.Name, hold func()) {
	id, _ := tb.operators.newID("empty")
	asked := time.Now()
	if tb.operators.send(tb.operators.generator.Drain(id, c, true), false) == 0 {
		tb.Checker.Violation("%s couldn't be emptied", c)
		return
	}
	tb.Checker.ZoneDrained(c, asked, time.Now())
	hold()
	tb.Checker.ZoneRestored(c, time.Now())
	id, _ = tb.operators.newID("refill")
	if tb.operators.send(tb.operators.generator.Drain(id, c, false), false) == 0 {
		tb.Checker.Violation("%s couldn't be refilled", c)
	}
	tb.Checker.ZoneRestored(c, time.Now())
}
