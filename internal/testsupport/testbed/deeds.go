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
func (s *Stage) Perform(ctx context.Context, script *Script) {
	var all sync.WaitGroup
	from := time.Now()
	for _, d := range script.Steps {
		all.Go(func() {
			if !wait(ctx, time.Until(from.Add(time.Duration(d.At)))) {
				return
			}
			fmt.Fprintf(s.Out, "%7.1fs %s %s for %s\n", time.Since(from).Seconds(), d.Do, d.Who, d.For)
			s.do(ctx, d)
		})
	}
	all.Wait()
	s.Truth.Healed(time.Now())
	took, err := s.Await(ctx, 30*time.Second)
	fmt.Fprintf(s.Out, "%7.1fs every daemon ready %s after the last machine was back\n", time.Since(from).Seconds(), took.Round(time.Millisecond))
	if err != nil {
		s.Truth.Wrong("not whole again: %v", err)
	} else if took > 15*time.Second {
		s.Truth.Wrong("whole again only after %s", took)
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

func (s *Stage) do(ctx context.Context, d Deed) {
	rest := func() { wait(ctx, time.Duration(d.For)) }
	switch d.Do {
	case "kill", "stop", "freeze":
		s.doMachine(d, s.Machine(d.Who), rest)
	case "cut", "cut-in", "cut-out", "split":
		s.doCut(d, rest)
	case "swap-core":
		s.swap(d.Who)
	case "herd":
		s.lose(func(p *Process) bool { return p.Role == d.Who }, func(*Target) bool { return false }, d, rest)
	case "lose-cell", "lose-region":
		cells := cellsOf(s.Plan, d.Who)
		s.lose(func(p *Process) bool { return slices.Contains(cells, p.Cell) }, func(t *Target) bool { return slices.Contains(cells, t.Cell) }, d, rest)
	case "empty":
		s.emptyFor(ids.Name(d.Who), rest)
	case "storm":
		s.operators.Storm(ctx, d.Count, time.Duration(d.For))
	case "hot":
		cell := ids.Name(d.Who)
		s.consumers.hot.Store(&cell)
		rest()
		s.consumers.hot.Store(nil)
	case "stall-disk":
		for _, p := range s.Machine(d.Who) {
			s.stall(ctx, p, time.Duration(d.For))
		}
	default:
		s.doTarget(d, s.target(d.Who), rest)
	}
}

// touch excuses the connections of processes that a fault is done to.
func (s *Stage) touch(list []*Process, d Deed) {
	for _, p := range list {
		s.Hurt(p, time.Now().Add(time.Duration(d.For)+hurtFor))
	}
}

// hurtFor is how long after a fault its connections may still be found dead.
const hurtFor = 10 * time.Second

func (s *Stage) doMachine(d Deed, list []*Process, rest func()) {
	s.touch(list, d)
	var all sync.WaitGroup
	for _, p := range list {
		all.Go(func() {
			switch d.Do {
			case "freeze":
				s.Signal(p, syscall.SIGSTOP)
			case "kill":
				s.Kill(p)
			default:
				if took := s.Stop(p); took > 2500*time.Millisecond {
					s.Truth.Wrong("%s took %s to stop", p.Name, took)
				}
			}
		})
	}
	all.Wait()
	rest()
	for _, p := range list {
		if d.Do == "freeze" {
			s.Signal(p, syscall.SIGCONT)
		} else {
			s.revive(p)
		}
	}
}

// doCut takes machines off the net: all that they send or get, or one way. A
// split keeps what is on one side together.
func (s *Stage) doCut(d Deed, rest func()) {
	in := map[string]bool{}
	for _, name := range strings.Split(d.Who, "+") {
		for ip := range s.numbers(name) {
			in[ip] = true
		}
	}
	c := &Cut{Blocks: func(from, to string) bool {
		return d.Do != "cut-in" && in[from] && !in[to] || d.Do != "cut-out" && in[to] && !in[from]
	}}
	if d.Do == "split" {
		s.touch(s.all(), d)
	} else {
		s.touch(s.Machine(d.Who), d)
	}
	// A target whose word doesn't get out counts as gone.
	var unheard []*Target
	for _, t := range s.Targets {
		if d.Do != "cut-in" && in[host(t.Address)] && d.Do != "split" {
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
func (s *Stage) swap(name string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if err := s.SwapMachine(name); err != nil {
		s.Truth.Wrong("swap %s: %v", name, err)
	}
}

// revive starts a process again unless it runs or was replaced.
func (s *Stage) revive(p *Process) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if p.Lost && !p.Gone {
		if err := s.Run(p); err != nil {
			s.Truth.Wrong("start %s: %v", p.Name, err)
		}
	}
}

// lose takes the power from daemons and targets, and gives it back.
func (s *Stage) lose(procs func(*Process) bool, targets func(*Target) bool, d Deed, rest func()) {
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
			s.Truth.Wrong("start %s: %v", t.Instance, err)
		}
	}
}

// emptyFor empties a cell for a while, through any daemon.
func (s *Stage) emptyFor(c ids.Name, rest func()) {
	id, _ := s.operators.id("empty")
	asked := time.Now()
	if s.operators.send(s.operators.work.Emptied(id, c, true), false) == 0 {
		s.Truth.Wrong("%s couldn't be emptied", c)
		return
	}
	s.Truth.Empty(c, asked, time.Now())
	rest()
	s.Truth.Refill(c, time.Now())
	id, _ = s.operators.id("refill")
	if s.operators.send(s.operators.work.Emptied(id, c, false), false) == 0 {
		s.Truth.Wrong("%s couldn't be refilled", c)
	}
	s.Truth.Refill(c, time.Now())
}
