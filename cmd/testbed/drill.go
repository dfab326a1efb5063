package main

import (
	"fmt"
	"maps"
	"runtime"
	"slices"
	"sync"
	"time"

	"dunlinwell/internal/testsupport/blueprint"
	"dunlinwell/internal/testsupport/simulator"
)

// SimulateCmd plays seeds in the simulator.
type SimulateCmd struct {
	Plan   string        `help:"small, cooperative or library." default:"small" enum:"small,cooperative,library" name:"plan"`
	Scene  string        `help:"Faults at set times instead of by lot: the name of a scene, or all." xor:"what" name:"scene"`
	Hot    bool          `help:"Several hot cells under lost planners, stale reports, storms and emptying, to judge the order of moves." xor:"what" name:"hot"`
	From   uint64        `help:"First seed." default:"1" name:"from"`
	Seeds  uint64        `help:"How many seeds." default:"100" name:"seeds"`
	Length time.Duration `help:"Virtual time with faults, for each seed." default:"60s" name:"length"`
	Eager  bool          `help:"Let the next core machine be lost after 4 s of calm, even if the last one's place isn't taken yet." name:"eager"`
	Trace  bool          `help:"Print what happened, line by line." name:"trace"`
	Jobs   int           `help:"Seeds at a time; 0 for one a processor." name:"jobs"`
}

// simulatorRun is one run to be done.
type simulatorRun struct {
	scene string
	seed  uint64
}

// runs lists what is asked for, or says what is wrong with it.
func (s *SimulateCmd) runs() ([]simulatorRun, error) {
	scenes := []string{s.Scene}
	switch {
	case s.Seeds == 0:
		return nil, fmt.Errorf("--seeds: must be at least 1")
	case s.Length < 20*time.Second:
		return nil, fmt.Errorf("--length: must be at least 20s, or no fault has the time to show")
	case s.Scene == "all":
		scenes = slices.Sorted(maps.Keys(simulator.Scenes))
	case s.Scene != "" && simulator.Scenes[s.Scene] == nil:
		return nil, fmt.Errorf("--scene: there is none named %q; there are %v", s.Scene, slices.Sorted(maps.Keys(simulator.Scenes)))
	}
	var out []simulatorRun
	for _, scene := range scenes {
		for i := range s.Seeds {
			out = append(out, simulatorRun{scene, s.From + i})
		}
	}
	return out, nil
}

// options are the options of one run.
func (s *SimulateCmd) options(p simulatorRun) simulator.Options {
	out := simulator.Options{Seed: p.seed, Plan: blueprint.Plans[s.Plan], Length: s.Length, Script: simulator.Scenes[p.scene]}
	if s.Hot {
		out = simulator.Hot(p.seed)
	}
	out.KeepLog, out.EagerLosses = s.Trace, s.Eager
	return out
}

// totals adds up what runs came to.
type totals struct {
	events     uint64
	counts     map[string]int
	checks     map[string]int
	violations map[string]int
	faults     map[string]int
	order      []string
}

func (t *totals) add(o simulator.Outcome) {
	t.events += o.Events
	for k, n := range o.Responses {
		t.counts[k] += n
	}
	t.counts["changes"] += o.Changes
	for kind, n := range o.FaultCounts {
		t.faults[kind] += n
	}
	for _, c := range o.Counts {
		if _, ok := t.checks[c.Rule]; !ok {
			t.order = append(t.order, c.Rule)
		}
		t.checks[c.Rule] += c.Judged
		t.violations[c.Rule] += c.Violations
	}
}

// print prints each promise, and says so where nothing came up to judge it by.
func (t *totals) print() {
	for _, what := range t.order {
		if t.checks[what] == 0 && t.violations[what] == 0 {
			fmt.Printf("  %-62s nothing to judge\n", what)
			continue
		}
		fmt.Printf("  %-62s %d in %d\n", what, t.violations[what], t.checks[what])
	}
}

// Run plays them, and gives one command for each bad seed.
func (s *SimulateCmd) Run() error {
	list, err := s.runs()
	if err != nil {
		return err
	}
	jobs := s.Jobs
	if jobs <= 0 {
		jobs = runtime.NumCPU()
	}
	var mu sync.Mutex
	var all sync.WaitGroup
	bad := 0
	total := &totals{counts: map[string]int{}, checks: map[string]int{}, violations: map[string]int{}, faults: map[string]int{}}
	next := make(chan simulatorRun)
	for range jobs {
		all.Go(func() {
			for p := range next {
				o := simulator.Run(s.options(p))
				mu.Lock()
				total.add(o)
				for _, line := range o.Log {
					fmt.Println(line)
				}
				if o.Violations > 0 {
					bad++
					fmt.Println(o.Replay(s.Plan, p.scene, s.Hot, s.Length))
					for _, c := range o.Counts {
						if c.Violations > 0 {
							fmt.Printf("  %s: %d, such as %s\n", c.Rule, c.Violations, c.Sample)
						}
					}
				}
				mu.Unlock()
			}
		})
	}
	for _, p := range list {
		next <- p
	}
	close(next)
	all.Wait()
	fmt.Printf("%d runs, %d events, %v; %d bad\n", len(list), total.events, total.counts, bad)
	total.print()
	if len(total.faults) > 0 {
		fmt.Printf("faults by lot: %v\n", total.faults)
	}
	if bad > 0 {
		return fmt.Errorf("%d of %d runs broke a promise", bad, len(list))
	}
	return nil
}
