package main

import (
	"context"
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"dunlinwell/internal/app/daemon"
)

func main() {
	var cli struct {
		Up     UpCmd         `cmd:"" help:"Start a fleet for manual tests; stop it with Ctrl-C." name:"up"`
		Run    RunCmd        `cmd:"" help:"Run load and faults against a fleet of real processes; count violations." name:"run"`
		Drill  SimulateCmd   `cmd:"" help:"Run faults in the simulator, in virtual time; count violations." name:"drill"`
		Hollow ScaleTestCmd  `cmd:"" help:"Measure the control plane's cost on large fleets of simulated proxies." name:"hollow"`
		Crew   ProxyGroupCmd `cmd:"" hidden:"" help:"Run a group of simulated proxies." name:"crew"`
	}
	k := kong.Parse(&cli, kong.Name("testbed"), kong.Description("Runs complete dunlinwell fleets on one machine."))
	k.BindTo(daemon.SignalContext(), (*context.Context)(nil))
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "testbed: "+err.Error())
		os.Exit(1)
	}
}
