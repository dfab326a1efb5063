package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"dunlinwell/internal/testsupport/scaletest"
	"dunlinwell/internal/testsupport/testbed"
)

// ScaleTestCmd plays hollow fleets of several sizes, and fits what control costs.
type ScaleTestCmd struct {
	scaletest.SizeFlags
	SteadyPhase       time.Duration `help:"How long the steady phase lasts." default:"10s" name:"for"`
	PhaseTimeout      time.Duration `help:"How long any other phase may take." default:"40s" name:"within"`
	Interval          time.Duration `help:"How often each target announces itself." default:"2s" name:"interval"`
	UsageRows         int           `help:"Routes in each proxy's report of CPU time." default:"50" name:"rows"`
	Changes           int           `help:"Changes of policy, each awaited everywhere." default:"3" name:"changes"`
	ProxiesPerProcess int           `help:"Hollow proxies in one process." default:"100" name:"crew"`
	Thrifty           bool          `help:"Registries tell of targets only as something changes; proxies share places by cell and have a lease without end." name:"thrifty"`
	Dir               string        `help:"Folder for data and logs." default:"testbed.out/hollow" name:"dir"`
	Out               string        `help:"Folder for the figures and plots." default:"testbed.out" name:"out"`
	Bin               string        `help:"Folder of built daemons." name:"bin"`
}

// validate finds what makes no sense before anything starts.
func (s *ScaleTestCmd) validate() error {
	switch {
	case s.SteadyPhase < time.Second:
		return fmt.Errorf("--for: must be at least 1s")
	case s.PhaseTimeout < time.Second:
		return fmt.Errorf("--within: must be at least 1s")
	case s.Interval < 100*time.Millisecond || s.Interval > time.Minute:
		return fmt.Errorf("--interval: must be from 100ms to 1m")
	case s.ProxiesPerProcess < 1 || s.UsageRows < 0 || s.Changes < 1:
		return fmt.Errorf("--crew and --changes must be at least 1, --rows at least 0")
	}
	return nil
}

// Run plays all sizes and writes down what they cost.
func (s *ScaleTestCmd) Run(ctx context.Context) error {
	if err := s.validate(); err != nil {
		return err
	}
	sizes, err := s.Sizes()
	if err != nil {
		return err
	}
	p := scaletest.Options{
		Sizes: sizes, Dir: s.Dir, Thrifty: s.Thrifty, ProxiesPerGroup: s.ProxiesPerProcess, PhaseDuration: s.SteadyPhase, PhaseTimeout: s.PhaseTimeout,
		AnnounceInterval: s.Interval, UsageRows: s.UsageRows, Changes: s.Changes, LoopbackBlock: 220 + os.Getpid()%30, Progress: progress,
	}
	if err := p.Check(); err != nil {
		return err
	}
	if p.Bin, err = testbed.ProgramsFolder(s.Bin, filepath.Join(s.Out, "bin")); err != nil {
		return err
	}
	if p.ProxyGroupBinary, err = os.Executable(); err != nil {
		return err
	}
	runs, err := scaletest.RunSizes(ctx, p)
	r := scaletest.Report{Command: "testbed " + strings.Join(os.Args[1:], " "), Runs: runs, Slopes: scaletest.FitSlopes(runs)}
	if len(runs) > 0 {
		if e := r.Save(s.Out); e != nil {
			return e
		}
		if e := r.WriteTables(os.Stdout); e != nil {
			return e
		}
		fmt.Printf("figures and plots are in %s\n", s.Out)
	}
	return err
}

// progress goes to the terminal, or to a log, but not among the figures.
func progress(line string) {
	fmt.Fprintf(os.Stderr, "%s %s\n", time.Now().Format("15:04:05"), line)
}

// ProxyGroupCmd is a process of hollow proxies, as hollow starts it.
type ProxyGroupCmd struct{ scaletest.ProxyGroupOptions }

// Run runs them until a signal.
func (p *ProxyGroupCmd) Run(ctx context.Context) error {
	return scaletest.NewProxyGroup(p.ProxyGroupOptions).Run(ctx)
}
