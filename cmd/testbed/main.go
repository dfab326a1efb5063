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
	s, err := testbed.Start(ctx, testbed.Options{Plan: u.Plan, Dir: u.Dir, Fixed: true, Out: os.Stdout})
	if err != nil {
		return err
	}
	defer s.Close()
	for _, p := range s.Procs {
		fmt.Printf("  %-12s cell %-8s http %s\n", p.Name, p.Zone, p.HTTP)
	}
	bin, err := filepath.Abs(s.Bin)
	if err != nil {
		return err
	}
	fmt.Printf("export DUNLINWELL_AT=%s PATH=%s:$PATH\nstop with Ctrl-C\n", s.Of("registry")[0].HTTP, bin)
	<-ctx.Done()
	return nil
}

// RunCmd plays load and faults, and counts.
type RunCmd struct {
	Plan      string        `help:"small, cooperative or library." default:"small" enum:"small,cooperative,library" name:"plan"`
	Dir       string        `help:"Folder for programs, data and logs." default:"testbed.out" name:"dir"`
	For       time.Duration `help:"How long to play." default:"120s" name:"for"`
	Play      string        `help:"What to play: grand (losses in turn), worst (everything at once), swaps (all core machines replaced), hot (one hot cell), quiet (nothing)." default:"grand" enum:"grand,worst,swaps,hot,quiet" name:"play"`
	Script    string        `help:"File with faults at set times; see docs/testbed.md." xor:"faults" name:"script"`
	Seed      uint64        `help:"Draw the faults from a seed." xor:"faults" name:"seed"`
	Rate      float64       `help:"Requests a second, instead of the plan's." name:"rate"`
	Target    float64       `help:"Each cell's comfortable level in ms of CPU a second, instead of the plan's." name:"target"`
	PlanEvery time.Duration `help:"How often registries plan the spill." default:"5s" name:"plan-every"`
	Bin       string        `help:"Folder of built daemons, to compare versions." name:"bin"`
	Other     string        `help:"Folder of built daemons for every other one, for a mixed fleet." name:"other"`
}

// least is how long each play takes, with the time to come back whole.
var least = map[string]time.Duration{"grand": 115 * time.Second, "worst": 115 * time.Second, "swaps": 90 * time.Second, "hot": 220 * time.Second}

// script chooses what to play, and checks it whole before anything starts.
func (r *RunCmd) script(plan blueprint.Plan) (*testbed.Script, error) {
	switch {
	case r.Script != "":
		raw, err := os.ReadFile(r.Script)
		if err != nil {
			return nil, err
		}
		return testbed.ReadScript(r.Script, raw, plan, r.For)
	case r.Seed != 0:
		return testbed.Drawn(plan, r.Seed, r.For), nil
	case r.For < least[r.Play]:
		return nil, fmt.Errorf("--for: %s takes %s", r.Play, least[r.Play])
	}
	return map[string]*testbed.Script{
		"grand": testbed.Grand(plan), "worst": testbed.WorstCase(plan), "swaps": testbed.Swaps(plan),
		"hot": testbed.Hot(plan, r.For), "quiet": {},
	}[r.Play], nil
}

// Run plays, reads everything back, and counts.
func (r *RunCmd) Run(ctx context.Context) error {
	script, err := r.script(blueprint.Plans[r.Plan])
	if err != nil {
		return err
	}
	s, err := testbed.Start(ctx, testbed.Options{Plan: r.Plan, Dir: r.Dir, Out: os.Stdout, Relay: true, Bin: r.Bin, Other: r.Other, Rate: r.Rate, Target: r.Target, PlanEvery: r.PlanEvery})
	if err != nil {
		return err
	}
	defer s.Close()
	from := time.Now()
	before := s.Costs()
	if r.Play == "hot" && r.Script == "" && r.Seed == 0 {
		s.PlayHot(ctx, r.For, script)
	} else {
		s.Play(ctx, r.For, func(context.Context) { s.Perform(ctx, script) })
	}
	if r.Play == "quiet" {
		s.ShowCosts(before)
	}
	s.RestartAndVerify(ctx)
	if n := s.Report(from); n > 0 {
		return fmt.Errorf("%d promises were broken", n)
	}
	return nil
}

func main() {
	var cli struct {
		Up     UpCmd     `cmd:"" help:"Start a fleet to try things on; Ctrl-C ends it." name:"up"`
		Run    RunCmd    `cmd:"" help:"Play load with kills, and count." name:"run"`
		Drill  DrillCmd  `cmd:"" help:"Play seeds of faults in the simulator, in virtual time." name:"drill"`
		Hollow HollowCmd `cmd:"" help:"Play large fleets of hollow proxies, and fit what control costs." name:"hollow"`
		Crew   CrewCmd   `cmd:"" hidden:"" help:"A process of hollow proxies." name:"crew"`
	}
	k := kong.Parse(&cli, kong.Name("testbed"), kong.Description("Plays a whole fleet of dunlinwell on one machine."))
	k.BindTo(daemon.SignalContext(), (*context.Context)(nil))
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "testbed: "+err.Error())
		os.Exit(1)
	}
}
