package main

import (
	"errors"
	"fmt"
	"maps"
	"runtime"
	"slices"
	"sync"
	"time"

	"dunlinwell/internal/testsupport/blueprint"
	"dunlinwell/internal/testsupport/simulator"
)

// SimulateCmd runs seeds in the simulator, several at a time.
type SimulateCmd struct {
	Plan   string        `help:"small, cooperative or library." default:"small" enum:"small,cooperative,library" name:"plan"`
	Scene  string        `help:"Faults at set times instead of random ones: the name of a scene, or all." xor:"what" name:"scene"`
	Hot    bool          `help:"Several hot cells under lost planners, stale reports, storms and emptying, to judge the order of moves." xor:"what" name:"hot"`
	From   uint64        `help:"First seed." default:"1" name:"from"`
	Seeds  uint64        `help:"How many seeds." default:"100" name:"seeds"`
	Length time.Duration `help:"Virtual time with faults, for each seed." default:"60s" name:"length"`
	Eager  bool          `help:"Let the next core machine be lost after 4 s of calm, even if the last one's place isn't taken yet." name:"eager"`
	Trace  bool          `help:"Print what happened, line by line." name:"trace"`
	Jobs   int           `help:"Seeds at a time; 0 for one a processor." name:"jobs"`
}

const (
	// allScenes asks for every scene.
	allScenes = "all"
	// minLength gives a fault the time to show.
	minLength = 20 * time.Second
)

// simulatorRun is one run: a scene, or random faults if scene is empty, and a seed.
type simulatorRun struct {
	scene string
	seed  uint64
}

// runs lists the runs that the flags ask for.
func (s *SimulateCmd) runs() ([]simulatorRun, error) {
	scenes := []string{s.Scene}
	switch {
	case s.Seeds == 0:
		return nil, errors.New("--seeds: must be at least 1")
	case s.Length < minLength:
		return nil, errors.New("--length: must be at least 20s, or no fault has the time to show")
	case s.Scene == allScenes:
		scenes = slices.Sorted(maps.Keys(simulator.Scenes))
	case s.Scene != "" && simulator.Scenes[s.Scene] == nil:
		return nil, fmt.Errorf("--scene: there is none named %q; there are %v", s.Scene, slices.Sorted(maps.Keys(simulator.Scenes)))
	}
	var runs []simulatorRun
	for _, scene := range scenes {
		for i := range s.Seeds {
			runs = append(runs, simulatorRun{scene, s.From + i})
		}
	}
	return runs, nil
}

// options are the simulator's options for one run.
func (s *SimulateCmd) options(r simulatorRun) simulator.Options {
	o := simulator.Options{Seed: r.seed, Plan: blueprint.Plans[s.Plan], Length: s.Length, Script: simulator.Scenes[r.scene]}
	if s.Hot {
		o = simulator.HotZoneOptions(r.seed)
	}
	o.KeepLog, o.EagerLosses = s.Trace, s.Eager
	return o
}

// Run runs all seeds, and prints a command that repeats it for each that violated
// a guarantee.
func (s *SimulateCmd) Run() error {
	runs, err := s.runs()
	if err != nil {
		return err
	}
	total := s.runAll(runs)
	fmt.Printf("%d runs, %d events, %v; %d bad\n", len(runs), total.events, total.responses, total.failedRuns)
	total.printRules()
	if len(total.faults) > 0 {
		fmt.Printf("random faults: %v\n", total.faults)
	}
	if total.failedRuns > 0 {
		return fmt.Errorf("%d of %d runs violated a guarantee", total.failedRuns, len(runs))
	}
	return nil
}

// runAll runs the seeds, Jobs at a time, and adds up their outcomes.
func (s *SimulateCmd) runAll(runs []simulatorRun) *totals {
	jobs := s.Jobs
	if jobs <= 0 {
		jobs = runtime.NumCPU()
	}
	var mu sync.Mutex // guards total, and keeps the lines of a run together
	total := newTotals()
	next := make(chan simulatorRun)
	var workers sync.WaitGroup
	for range jobs {
		workers.Go(func() {
			for r := range next {
				outcome := simulator.Run(s.options(r))
				mu.Lock()
				total.add(outcome)
				s.printOutcome(r, outcome)
				mu.Unlock()
			}
		})
	}
	for _, r := range runs {
		next <- r
	}
	close(next)
	workers.Wait()
	return total
}

// printOutcome prints a run's log, if it was kept, and its violations.
func (s *SimulateCmd) printOutcome(r simulatorRun, o simulator.Outcome) {
	for _, line := range o.Log {
		fmt.Println(line)
	}
	if o.Violations == 0 {
		return
	}
	fmt.Println(o.ReplayCommand(s.Plan, r.scene, s.Hot, s.Length))
	for _, c := range o.Results {
		if c.Violations > 0 {
			fmt.Printf("  %s: %d, such as %s\n", c.Rule, c.Violations, c.Sample)
		}
	}
}
