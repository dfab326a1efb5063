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

// HollowCmd plays hollow fleets of several sizes, and fits what control costs.
type HollowCmd struct {
	scaletest.Lists
	For      time.Duration `help:"How long the steady phase lasts." default:"10s" name:"for"`
	Within   time.Duration `help:"How long any other phase may take." default:"40s" name:"within"`
	Interval time.Duration `help:"How often each target announces itself." default:"2s" name:"interval"`
	Rows     int           `help:"Routes in each proxy's report of CPU time." default:"50" name:"rows"`
	Changes  int           `help:"Changes of policy, each awaited everywhere." default:"3" name:"changes"`
	Crew     int           `help:"Hollow proxies in one process." default:"100" name:"crew"`
	Thrifty  bool          `help:"Registries tell of targets only as something changes; proxies share places by cell and have a lease without end." name:"thrifty"`
	Dir      string        `help:"Folder for data and logs." default:"testbed.out/hollow" name:"dir"`
	Out      string        `help:"Folder for the figures and plots." default:"testbed.out" name:"out"`
	Bin      string        `help:"Folder of built daemons." name:"bin"`
}

// check finds what makes no sense before anything starts.
func (h *HollowCmd) check() error {
	switch {
	case h.For < time.Second:
		return fmt.Errorf("--for: must be at least 1s")
	case h.Within < time.Second:
		return fmt.Errorf("--within: must be at least 1s")
	case h.Interval < 100*time.Millisecond || h.Interval > time.Minute:
		return fmt.Errorf("--interval: must be from 100ms to 1m")
	case h.Crew < 1 || h.Rows < 0 || h.Changes < 1:
		return fmt.Errorf("--crew and --changes must be at least 1, --rows at least 0")
	}
	return nil
}

// Run plays all sizes and writes down what they cost.
func (h *HollowCmd) Run(ctx context.Context) error {
	if err := h.check(); err != nil {
		return err
	}
	sizes, err := h.Sizes()
	if err != nil {
		return err
	}
	p := scaletest.Options{
		Sizes: sizes, Dir: h.Dir, Thrifty: h.Thrifty, ProxiesPerGroup: h.Crew, PhaseDuration: h.For, PhaseTimeout: h.Within,
		Interval: h.Interval, Rows: h.Rows, Changes: h.Changes, Block: 220 + os.Getpid()%30, Show: progress,
	}
	if err := p.Check(); err != nil {
		return err
	}
	if p.Bin, err = testbed.Programs(h.Bin, filepath.Join(h.Out, "bin")); err != nil {
		return err
	}
	if p.ProxyGroupBinary, err = os.Executable(); err != nil {
		return err
	}
	runs, err := scaletest.RunSizes(ctx, p)
	r := scaletest.Report{Command: "testbed " + strings.Join(os.Args[1:], " "), Runs: runs, Slopes: scaletest.SlopesOf(runs)}
	if len(runs) > 0 {
		if e := r.Write(h.Out); e != nil {
			return e
		}
		if e := r.Show(os.Stdout); e != nil {
			return e
		}
		fmt.Printf("figures and plots are in %s\n", h.Out)
	}
	return err
}

// progress goes to the terminal, or to a log, but not among the figures.
func progress(line string) {
	fmt.Fprintf(os.Stderr, "%s %s\n", time.Now().Format("15:04:05"), line)
}

// CrewCmd is a process of hollow proxies, as hollow starts it.
type CrewCmd struct{ scaletest.ProxyGroupOptions }

// Run runs them until a signal.
func (c *CrewCmd) Run(ctx context.Context) error {
	return scaletest.NewProxyGroup(c.ProxyGroupOptions).Run(ctx)
}
