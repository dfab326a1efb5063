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

// Perform carries a script out, and gives how long the fleet took to be whole
// again after the last thing that was broken came back.
func (s *Testbed) Perform(ctx context.Context, script *Script) {
	var all sync.WaitGroup
	from := time.Now()
	for _, d := range script.Steps {
		all.Go(func() {
			if !wait(ctx, time.Until(from.Add(time.Duration(d.At)))) {
				return
			}
			fmt.Fprintf(s.Out, "%7.1fs %s %s for %s\n", time.Since(from).Seconds(), d.Action, d.Subject, d.For)
			s.perform(ctx, d)
		})
	}
	all.Wait()
	s.Checker.MachinesRecovered(time.Now())
	took, err := s.Await(ctx, 30*time.Second)
	fmt.Fprintf(s.Out, "%7.1fs every daemon ready %s after the last machine was back\n", time.Since(from).Seconds(), took.Round(time.Millisecond))
	if err != nil {
		s.Checker.Violation("not whole again: %v", err)
	} else if took > 15*time.Second {
		s.Checker.Violation("whole again only after %s", took)
	}
}

func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (s *Testbed) perform(ctx context.Context, d Step) {
	rest := func() { wait(ctx, time.Duration(d.For)) }
	switch d.Action {
	case "kill", "stop", "freeze":
		s.doMachine(d, s.Machine(d.Subject), rest)
	case "cut", "cut-in", "cut-out", "split":
		s.doCut(d, rest)
	case "swap-core":
		s.swap(d.Subject)
	case "herd":
		s.lose(func(p *Process) bool { return p.Role == d.Subject }, func(*Target) bool { return false }, d, rest)
	case "lose-cell", "lose-region":
		zones := zonesOf(s.Plan, d.Subject)
		s.lose(func(p *Process) bool { return slices.Contains(zones, p.Zone) }, func(t *Target) bool { return slices.Contains(zones, t.Zone) }, d, rest)
	case "empty":
		s.emptyFor(ids.Name(d.Subject), rest)
	case "storm":
		s.operators.Storm(ctx, d.Count, time.Duration(d.For))
	case "hot":
		zone := ids.Name(d.Subject)
		s.clients.hot.Store(&zone)
		rest()
		s.clients.hot.Store(nil)
	case "stall-disk":
		for _, p := range s.Machine(d.Subject) {
			s.stall(ctx, p, time.Duration(d.For))
		}
	default:
		s.doTarget(d, s.target(d.Subject), rest)
	}
}

// touch excuses the connections of processes that a fault is done to.
func (s *Testbed) touch(list []*Process, d Step) {
	for _, p := range list {
		s.MarkImpaired(p, time.Now().Add(time.Duration(d.For)+impairedFor))
	}
}

// impairedFor is how long after a fault its connections may still be found dead.
const impairedFor = 10 * time.Second

func (s *Testbed) doMachine(d Step, list []*Process, rest func()) {
	s.touch(list, d)
	var all sync.WaitGroup
	for _, p := range list {
		all.Go(func() {
			switch d.Action {
			case "freeze":
				s.Signal(p, syscall.SIGSTOP)
			case "kill":
				s.Kill(p)
			default:
				if took := s.Stop(p); took > 2500*time.Millisecond {
					s.Checker.Violation("%s took %s to stop", p.Name, took)
				}
			}
		})
	}
	all.Wait()
	rest()
	for _, p := range list {
		if d.Action == "freeze" {
			s.Signal(p, syscall.SIGCONT)
		} else {
			s.revive(p)
		}
	}
}

// doCut takes machines off the net: all that they send or get, or one way. A
// split keeps what is on one side together.
func (s *Testbed) doCut(d Step, rest func()) {
	in := map[string]bool{}
	for _, name := range strings.Split(d.Subject, "+") {
		for ip := range s.numbers(name) {
			in[ip] = true
		}
	}
	c := &Cut{Blocks: func(from, to string) bool {
		return d.Action != "cut-in" && in[from] && !in[to] || d.Action != "cut-out" && in[to] && !in[from]
	}}
	if d.Action == "split" {
		s.touch(s.all(), d)
	} else {
		s.touch(s.Machine(d.Subject), d)
	}
	// A target whose word doesn't get out counts as gone.
	var unheard []*Target
	for _, t := range s.Targets {
		if d.Action != "cut-in" && in[host(t.Address)] && d.Action != "split" {
			unheard = append(unheard, t)
			t.Silence(true)
		}
	}
	s.relay.Begin(c)
	rest()
	s.relay.End(c)
	for _, t := range unheard {
		t.Silence(false)
	}
}

// swap loses a core machine for good and puts up a blank one.
func (s *Testbed) swap(name string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if err := s.SwapMachine(name); err != nil {
		s.Checker.Violation("swap %s: %v", name, err)
	}
}

// revive starts a process again unless it runs or was replaced.
func (s *Testbed) revive(p *Process) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if p.Lost && !p.Gone {
		if err := s.Run(p); err != nil {
			s.Checker.Violation("start %s: %v", p.Name, err)
		}
	}
}

// lose takes the power from daemons and targets, and gives it back.
func (s *Testbed) lose(procs func(*Process) bool, targets func(*Target) bool, d Step, rest func()) {
	var lost []*Process
	var dark []*Target
	s.lock.Lock()
	for _, p := range s.all() {
		if procs(p) && !p.Gone && !p.Lost {
			lost = append(lost, p)
		}
	}
	s.lock.Unlock()
	s.touch(lost, d)
	for _, t := range s.Targets {
		if targets(t) {
			dark = append(dark, t)
			t.Crash()
		}
	}
	var all sync.WaitGroup
	for _, p := range lost {
		all.Go(func() { s.Kill(p) })
	}
	all.Wait()
	rest()
	for _, p := range lost {
		s.revive(p)
	}
	for _, t := range dark {
		if err := t.Start(true); err != nil {
			s.Checker.Violation("start %s: %v", t.Instance, err)
		}
	}
}

// emptyFor empties a zone for a while, through any daemon.
func (s *Testbed) emptyFor(c ids.Name, rest func()) {
	id, _ := s.operators.id("empty")
	asked := time.Now()
	if s.operators.send(s.operators.work.Drain(id, c, true), false) == 0 {
		s.Checker.Violation("%s couldn't be emptied", c)
		return
	}
	s.Checker.ZoneDrained(c, asked, time.Now())
	rest()
	s.Checker.ZoneRestored(c, time.Now())
	id, _ = s.operators.id("refill")
	if s.operators.send(s.operators.work.Drain(id, c, false), false) == 0 {
		s.Checker.Violation("%s couldn't be refilled", c)
	}
	s.Checker.ZoneRestored(c, time.Now())
}
