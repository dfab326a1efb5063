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

// ScaleTestCmd runs fleets of simulated proxies in several sizes, and fits the control plane's
// cost to the size.
type ScaleTestCmd struct {
	scaletest.SizeFlags
	SteadyPhase       time.Duration `help:"Duration of the steady phase." default:"10s" name:"for"`
	PhaseTimeout      time.Duration `help:"Timeout of every other phase." default:"40s" name:"within"`
	Interval          time.Duration `help:"Interval between heartbeats of each target." default:"2s" name:"interval"`
	UsageRows         int           `help:"Number of routes in each proxy's usage report." default:"50" name:"rows"`
	Changes           int           `help:"Number of configuration changes, each awaited on all proxies." default:"3" name:"changes"`
	ProxiesPerProcess int           `help:"Number of simulated proxies per process." default:"100" name:"crew"`
	Thrifty           bool          `help:"Registries push deltas of the target table; proxies share slots by zone and have an unlimited lease." name:"thrifty"`
	Dir               string        `help:"Directory for data and logs." default:"testbed.out/hollow" name:"dir"`
	Out               string        `help:"Directory for results and plots." default:"testbed.out" name:"out"`
	Bin               string        `help:"Directory of prebuilt daemons." name:"bin"`
}

// The loopback addresses are 127.220 to 127.249, selected by process ID, so that several
// commands on one machine rarely use the same ones. Package testbed uses lower addresses.
const (
	firstLoopbackBlock = 220
	loopbackBlocks     = 30
)

// validate checks all flags except those of SizeFlags.
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

// options returns the options of the scale test. It builds the programs only after
// validating the sizes.
func (s *ScaleTestCmd) options() (scaletest.Options, error) {
	if err := s.validate(); err != nil {
		return scaletest.Options{}, err
	}
	sizes, err := s.Sizes()
	if err != nil {
		return scaletest.Options{}, err
	}
	o := scaletest.Options{
		Sizes: sizes, Dir: s.Dir, Thrifty: s.Thrifty, ProxiesPerGroup: s.ProxiesPerProcess, SteadyPhaseDuration: s.SteadyPhase, PhaseTimeout: s.PhaseTimeout,
		HeartbeatInterval: s.Interval, UsageRows: s.UsageRows, Changes: s.Changes, LoopbackBlock: firstLoopbackBlock + os.Getpid()%loopbackBlocks, Progress: printProgress,
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

// Run runs all sizes, and writes and prints the report. After an error, the report has the
// sizes that were measured.
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
	fmt.Printf("results and plots are in %s\n", s.Out)
	return runErr
}

// printProgress prints to standard error, because the tables go to standard output.
func printProgress(line string) {
	fmt.Fprintf(os.Stderr, "%s %s\n", time.Now().Format("15:04:05"), line)
}

// ProxyGroupCmd runs a group of simulated proxies. ScaleTestCmd starts it as a process.
type ProxyGroupCmd struct{ scaletest.ProxyGroupOptions }

// Run runs the proxies until the process receives a signal.
func (p *ProxyGroupCmd) Run(ctx context.Context) error {
	return scaletest.NewProxyGroup(p.ProxyGroupOptions).Run(ctx)
}
