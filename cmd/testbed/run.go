package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"dunlinwell/internal/testsupport/blueprint"
	"dunlinwell/internal/testsupport/testbed"
)

// RunCmd runs load and faults against a fleet of real processes, and counts
// violations.
type RunCmd struct {
	Plan         string        `help:"Deployment: small, cooperative or library." default:"small" enum:"small,cooperative,library" name:"plan"`
	Dir          string        `help:"Directory for programs, data and logs." default:"testbed.out" name:"dir"`
	Duration     time.Duration `help:"Duration of the load." default:"120s" name:"for"`
	Scenario     string        `help:"Fault scenario: grand (consecutive losses), worst (combined faults), swaps (replacement of all core machines), hot (one overloaded zone) or quiet (no faults)." default:"grand" enum:"grand,worst,swaps,hot,quiet" name:"play"`
	Script       string        `help:"File with scheduled faults; see docs/testbed.md." xor:"faults" name:"script"`
	Seed         uint64        `help:"Seed of random faults." xor:"faults" name:"seed"`
	Rate         float64       `help:"Requests per second; overrides the plan's." name:"rate"`
	TargetLevel  float64       `help:"Target load of each zone, in ms of CPU time per second; overrides the plan's." name:"target"`
	PlanInterval time.Duration `help:"Interval between spill-over plans." default:"5s" name:"plan-every"`
	Bin          string        `help:"Directory of prebuilt daemons, to compare versions." name:"bin"`
	OtherBin     string        `help:"Directory of prebuilt daemons for every second daemon, to test mixed versions." name:"other"`
}

// The names of the built-in scenarios on the command line.
const (
	grandScenario       = "grand"
	worstScenario       = "worst"
	replacementScenario = "swaps"
	hotScenario         = "hot"
	quietScenario       = "quiet"
)

// minDurations holds the minimum duration of each scenario: its faults and the recovery from
// the last one.
var minDurations = map[string]time.Duration{
	grandScenario: 115 * time.Second, worstScenario: 115 * time.Second, replacementScenario: 90 * time.Second, hotScenario: 220 * time.Second,
}

// script returns the faults that the flags select, validated against the plan.
func (r *RunCmd) script(plan blueprint.Plan) (*testbed.Script, error) {
	switch {
	case r.Script != "":
		raw, err := os.ReadFile(r.Script)
		if err != nil {
			return nil, err
		}
		return testbed.ReadScript(r.Script, raw, plan, r.Duration)
	case r.Seed != 0:
		return testbed.RandomScript(plan, r.Seed, r.Duration), nil
	case r.Duration < minDurations[r.Scenario]:
		return nil, fmt.Errorf("--for: scenario %s takes at least %s", r.Scenario, minDurations[r.Scenario])
	}
	switch r.Scenario {
	case grandScenario:
		return testbed.SequentialFaultsScript(plan), nil
	case worstScenario:
		return testbed.WorstCaseScript(plan), nil
	case replacementScenario:
		return testbed.ReplacementScript(plan), nil
	case hotScenario:
		return testbed.HotZoneScript(plan, r.Duration), nil
	}
	return &testbed.Script{}, nil
}

// Run runs the load, restarts the whole fleet, verifies all data and prints a report.
func (r *RunCmd) Run(ctx context.Context) error {
	script, err := r.script(blueprint.Plans[r.Plan])
	if err != nil {
		return err
	}
	tb, err := testbed.Start(ctx, testbed.Options{
		Plan: r.Plan, Dir: r.Dir, Out: os.Stdout, Relay: true, Bin: r.Bin, OtherBin: r.OtherBin,
		Rate: r.Rate, TargetLevel: r.TargetLevel, PlanEvery: r.PlanInterval,
	})
	if err != nil {
		return err
	}
	defer tb.Close()
	start := time.Now()
	usageBefore := tb.MeasureUsage()
	if r.Scenario == hotScenario && r.Script == "" && r.Seed == 0 {
		tb.RunHotZone(ctx, r.Duration, script)
	} else {
		tb.RunLoad(ctx, r.Duration, func(context.Context) { tb.RunScript(ctx, script) })
	}
	if r.Scenario == quietScenario {
		tb.PrintUsage(usageBefore)
	}
	tb.RestartAndVerify(ctx)
	if n := tb.Report(start); n > 0 {
		return fmt.Errorf("%d guarantees were violated", n)
	}
	return nil
}
