// Command testbed plays a whole fleet on one machine, with stand-in targets
// and clients, and counts every promise kept or broken.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kong"

	"dunlinwell/internal/app/daemon"
	"dunlinwell/internal/testsupport/blueprint"
	"dunlinwell/internal/testsupport/testbed"
)

// UpCmd starts a fleet to try things on.
type UpCmd struct {
	Plan string `help:"small, cooperative or library." default:"small" enum:"small,cooperative,library" name:"plan"`
	Dir  string `help:"Folder for programs, data and logs." default:"testbed.out" name:"dir"`
}

// Run starts it and waits for a signal.
func (u *UpCmd) Run(ctx context.Context) error {
	tb, err := testbed.Start(ctx, testbed.Options{Plan: u.Plan, Dir: u.Dir, Fixed: true, Out: os.Stdout})
	if err != nil {
		return err
	}
	defer tb.Close()
	for _, p := range tb.Processes {
		fmt.Printf("  %-12s cell %-8s http %s\n", p.Name, p.Zone, p.HTTP)
	}
	bin, err := filepath.Abs(tb.Bin)
	if err != nil {
		return err
	}
	fmt.Printf("export DUNLINWELL_AT=%s PATH=%s:$PATH\nstop with Ctrl-C\n", tb.ProcessesOf("registry")[0].HTTP, bin)
	<-ctx.Done()
	return nil
}

// RunCmd plays load and faults, and counts.
type RunCmd struct {
	Plan        string        `help:"small, cooperative or library." default:"small" enum:"small,cooperative,library" name:"plan"`
	Dir         string        `help:"Folder for programs, data and logs." default:"testbed.out" name:"dir"`
	Duration    time.Duration `help:"How long to play." default:"120s" name:"for"`
	Scenario    string        `help:"What to play: grand (losses in turn), worst (everything at once), swaps (all core machines replaced), hot (one hot cell), quiet (nothing)." default:"grand" enum:"grand,worst,swaps,hot,quiet" name:"play"`
	Script      string        `help:"File with faults at set times; see docs/testbed.md." xor:"faults" name:"script"`
	Seed        uint64        `help:"Draw the faults from a seed." xor:"faults" name:"seed"`
	Rate        float64       `help:"Requests a second, instead of the plan's." name:"rate"`
	TargetLevel float64       `help:"Each cell's comfortable level in ms of CPU a second, instead of the plan's." name:"target"`
	PlanEvery   time.Duration `help:"How often registries plan the spill." default:"5s" name:"plan-every"`
	Bin         string        `help:"Folder of built daemons, to compare versions." name:"bin"`
	OtherBin    string        `help:"Folder of built daemons for every other one, for a mixed fleet." name:"other"`
}

// minDurations is how long each play takes, with the time to come back whole.
var minDurations = map[string]time.Duration{"grand": 115 * time.Second, "worst": 115 * time.Second, "swaps": 90 * time.Second, "hot": 220 * time.Second}

// script chooses what to play, and checks it whole before anything starts.
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
		return nil, fmt.Errorf("--for: %s takes %s", r.Scenario, minDurations[r.Scenario])
	}
	return map[string]*testbed.Script{
		"grand": testbed.GrandScript(plan), "worst": testbed.WorstCaseScript(plan), "swaps": testbed.ReplacementScript(plan),
		"hot": testbed.HotZoneScript(plan, r.Duration), "quiet": {},
	}[r.Scenario], nil
}

// Run plays, reads everything back, and counts.
func (r *RunCmd) Run(ctx context.Context) error {
	script, err := r.script(blueprint.Plans[r.Plan])
	if err != nil {
		return err
	}
	tb, err := testbed.Start(ctx, testbed.Options{Plan: r.Plan, Dir: r.Dir, Out: os.Stdout, Relay: true, Bin: r.Bin, OtherBin: r.OtherBin, Rate: r.Rate, TargetLevel: r.TargetLevel, PlanEvery: r.PlanEvery})
	if err != nil {
		return err
	}
	defer tb.Close()
	from := time.Now()
	before := tb.MeasureUsage()
	if r.Scenario == "hot" && r.Script == "" && r.Seed == 0 {
		tb.RunHotZone(ctx, r.Duration, script)
	} else {
		tb.RunLoad(ctx, r.Duration, func(context.Context) { tb.RunScript(ctx, script) })
	}
	if r.Scenario == "quiet" {
		tb.PrintUsage(before)
	}
	tb.RestartAndVerify(ctx)
	if n := tb.Report(from); n > 0 {
		return fmt.Errorf("%d promises were broken", n)
	}
	return nil
}

func main() {
	var cli struct {
		Up     UpCmd         `cmd:"" help:"Start a fleet to try things on; Ctrl-C ends it." name:"up"`
		Run    RunCmd        `cmd:"" help:"Play load with kills, and count." name:"run"`
		Drill  SimulateCmd   `cmd:"" help:"Play seeds of faults in the simulator, in virtual time." name:"drill"`
		Hollow ScaleTestCmd  `cmd:"" help:"Play large fleets of hollow proxies, and fit what control costs." name:"hollow"`
		Crew   ProxyGroupCmd `cmd:"" hidden:"" help:"A process of hollow proxies." name:"crew"`
	}
	k := kong.Parse(&cli, kong.Name("testbed"), kong.Description("Plays a whole fleet of dunlinwell on one machine."))
	k.BindTo(daemon.SignalContext(), (*context.Context)(nil))
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "testbed: "+err.Error())
		os.Exit(1)
	}
}
