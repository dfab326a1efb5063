package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"dunlinwell/internal/testsupport/testbed"
)

// UpCmd starts a fleet for manual tests, always at the same addresses.
type UpCmd struct {
	Plan string `help:"Deployment: small, cooperative or library." default:"small" enum:"small,cooperative,library" name:"plan"`
	Dir  string `help:"Directory for programs, data and logs." default:"testbed.out" name:"dir"`
}

// Run starts the fleet, prints its addresses and waits for a signal.
func (u *UpCmd) Run(ctx context.Context) error {
	tb, err := testbed.Start(ctx, testbed.Options{Plan: u.Plan, Dir: u.Dir, FixedAddresses: true, Out: os.Stdout})
	if err != nil {
		return err
	}
	defer tb.Close()
	for _, p := range tb.Processes {
		fmt.Printf("  %-12s zone %-8s http %s\n", p.Name, p.Zone, p.HTTP)
	}
	bin, err := filepath.Abs(tb.Bin)
	if err != nil {
		return err
	}
	fmt.Printf("export DUNLINWELL_AT=%s PATH=%s:$PATH\nstop with Ctrl-C\n", tb.ProcessesOf("registry")[0].HTTP, bin)
	<-ctx.Done()
	return nil
}
