package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"dunlinwell/internal/testsupport/scaletest"
	"dunlinwell/internal/testsupport/testbed"
)

// ScaleTestCmd runs hollow fleets of several sizes, and fits what control costs.
type ScaleTestCmd struct {
	scaletest.SizeFlags
	SteadyPhase       time.Duration `help:"How long the steady phase lasts." default:"10s" name:"for"`
	PhaseTimeout      time.Duration `help:"How long any other phase may take." default:"40s" name:"within"`
	Interval          time.Duration `help:"How often each target announces itself." default:"2s" name:"interval"`
	UsageRows         int           `help:"Routes in each proxy's report of CPU time." default:"50" name:"rows"`
	Changes           int           `help:"Changes of policy, each awaited everywhere." default:"3" name:"changes"`
	ProxiesPerProcess int           `help:"Hollow proxies in one process." default:"100" name:"crew"`
	Thrifty           bool          `help:"Registries push target tables incrementally; proxies share slots by cell and have an endless lease." name:"thrifty"`
	Dir               string        `help:"Folder for data and logs." default:"testbed.out/hollow" name:"dir"`
	Out               string        `help:"Folder for the figures and plots." default:"testbed.out" name:"out"`
	Bin               string        `help:"Folder of built daemons." name:"bin"`
}

// Fleets of several commands on one machine mostly get different loopback
// addresses: 127.220 to 127.249, by process id. Package testbed uses lower ones.
const (
	firstLoopbackBlock = 220
	loopbackBlocks     = 30
)

// validate checks the flags that don't belong to a size.
func (s *ScaleTestCmd) validate() error {
	switch {
	case s.SteadyPhase < time.Second:
		return errors.New("--for: must be at least 1s")
	case s.PhaseTimeout < time.Second:
		return errors.New("--within: must be at least 1s")
	case s.Interval < 100*time.Millisecond || s.Interval > time.Minute:
		return errors.New("--interval: must be from 100ms to 1m")
	case s.ProxiesPerProcess < 1 || s.UsageRows < 0 || s.Changes < 1:
		return errors.New("--crew and --changes must be at least 1, --rows at least 0")
	}
	return nil
}

// options are the scale test's options. Programs are built only once the sizes
// are known to fit.
func (s *ScaleTestCmd) options() (scaletest.Options, error) {
	if err := s.validate(); err != nil {
		return scaletest.Options{}, err
	}
	sizes, err := s.Sizes()
	if err != nil {
		return scaletest.Options{}, err
	}
	o := scaletest.Options{
		Sizes: sizes, Dir: s.Dir, Thrifty: s.Thrifty, ProxiesPerGroup: s.ProxiesPerProcess, PhaseDuration: s.SteadyPhase, PhaseTimeout: s.PhaseTimeout,
		AnnounceInterval: s.Interval, UsageRows: s.UsageRows, Changes: s.Changes, LoopbackBlock: firstLoopbackBlock + os.Getpid()%loopbackBlocks, Progress: printProgress,
	}
	if err := o.Check(); err != nil {
		return o, err
	}
	if o.Bin, err = testbed.ProgramsDir(s.Bin, filepath.Join(s.Out, "bin")); err != nil {
		return o, err
	}
	o.ProxyGroupBinary, err = os.Executable()
	return o, err
}

// Run runs all sizes, and writes and prints the report. What was measured before
// an error is reported too.
func (s *ScaleTestCmd) Run(ctx context.Context) error {
	o, err := s.options()
	if err != nil {
		return err
	}
	runs, runErr := scaletest.RunSizes(ctx, o)
	if len(runs) == 0 {
		return runErr
	}
	report := scaletest.Report{Command: "testbed " + strings.Join(os.Args[1:], " "), Runs: runs, Slopes: scaletest.FitSlopes(runs)}
	if err := report.Save(s.Out); err != nil {
		return err
	}
	if err := report.WriteTables(os.Stdout); err != nil {
		return err
	}
	fmt.Printf("figures and plots are in %s\n", s.Out)
	return runErr
}

// printProgress prints to standard error, as standard output has the tables.
func printProgress(line string) {
	fmt.Fprintf(os.Stderr, "%s %s\n", time.Now().Format("15:04:05"), line)
}

// ProxyGroupCmd is a process of hollow proxies; ScaleTestCmd starts it.
type ProxyGroupCmd struct{ scaletest.ProxyGroupOptions }

// Run runs the proxies until a signal.
func (p *ProxyGroupCmd) Run(ctx context.Context) error {
	return scaletest.NewProxyGroup(p.ProxyGroupOptions).Run(ctx)
}
