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

// SimulateCmd runs the simulator with several seeds in parallel.
type SimulateCmd struct {
	Plan   string        `help:"Deployment: small, cooperative or library." default:"small" enum:"small,cooperative,library" name:"plan"`
	Scene  string        `help:"Run a scene of scheduled faults by name, or all scenes, instead of random faults." xor:"what" name:"scene"`
	Hot    bool          `help:"Overload several zones, with planner failures, stale reports, bursts of changes and drained zones, to check the order of spill-over moves." xor:"what" name:"hot"`
	From   uint64        `help:"First seed." default:"1" name:"from"`
	Seeds  uint64        `help:"Number of seeds." default:"100" name:"seeds"`
	Length time.Duration `help:"Virtual duration of the faults of each seed." default:"60s" name:"length"`
	Eager  bool          `help:"Allow the loss of another core machine once the core has been stable for 4 s, even if the last one isn't replaced yet." name:"eager"`
	Trace  bool          `help:"Print the log of each run." name:"trace"`
	Jobs   int           `help:"Number of parallel runs; 0 for the number of CPUs." name:"jobs"`
}

const (
	// allScenes selects all scenes.
	allScenes = "all"
	// minLength is the minimum length of a run, in which a fault can take effect.
	minLength = 20 * time.Second
)

// simulatorRun is one run: a seed, and a scene or, if scene is empty, random faults.
type simulatorRun struct {
	scene string
	seed  uint64
}

// runs returns the runs that the flags select.
func (s *SimulateCmd) runs() ([]simulatorRun, error) {
	scenes := []string{s.Scene}
	switch {
	case s.Seeds == 0:
		return nil, errors.New("--seeds: must be at least 1")
	case s.Length < minLength:
		return nil, errors.New("--length: must be at least 20s, so that faults can take effect")
	case s.Scene == allScenes:
		scenes = slices.Sorted(maps.Keys(simulator.Scenes))
	case s.Scene != "" && simulator.Scenes[s.Scene] == nil:
		return nil, fmt.Errorf("--scene: no scene named %q; the scenes are %v", s.Scene, slices.Sorted(maps.Keys(simulator.Scenes)))
	}
	var runs []simulatorRun
	for _, scene := range scenes {
		for i := range s.Seeds {
			runs = append(runs, simulatorRun{scene, s.From + i})
		}
	}
	return runs, nil
}

// options returns the simulator's options for one run.
func (s *SimulateCmd) options(r simulatorRun) simulator.Options {
	o := simulator.Options{Seed: r.seed, Plan: blueprint.Plans[s.Plan], Length: s.Length, Script: simulator.Scenes[r.scene]}
	if s.Hot {
		o = simulator.HotZoneOptions(r.seed)
	}
	o.KeepLog, o.EagerLosses = s.Trace, s.Eager
	return o
}

// Run runs all seeds. For each run that violated a guarantee, it prints a command that
// repeats the run.
func (s *SimulateCmd) Run() error {
	runs, err := s.runs()
	if err != nil {
		return err
	}
	total := s.runAll(runs)
	fmt.Printf("%d runs, %d events, %v; %d failed\n", len(runs), total.events, total.responses, total.failedRuns)
	total.printRules()
	if len(total.faults) > 0 {
		fmt.Printf("random faults: %v\n", total.faults)
	}
	if total.failedRuns > 0 {
		return fmt.Errorf("%d of %d runs violated a guarantee", total.failedRuns, len(runs))
	}
	return nil
}

// runAll runs the seeds, up to Jobs in parallel, and returns the sum of their outcomes.
func (s *SimulateCmd) runAll(runs []simulatorRun) *totals {
	jobs := s.Jobs
	if jobs <= 0 {
		jobs = runtime.NumCPU()
	}
	var mu sync.Mutex // guards total and the output, so that the lines of a run aren't interleaved
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

// printOutcome prints a run's log, if the run kept it, and its violations.
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
			fmt.Printf("  %s: %d violations, for example %s\n", c.Rule, c.Violations, c.Sample)
		}
	}
}
