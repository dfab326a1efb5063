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
		Up     UpCmd         `cmd:"" help:"Start a fleet to try things on; Ctrl-C ends it." name:"up"`
		Run    RunCmd        `cmd:"" help:"Run load with faults, and count violations." name:"run"`
		Drill  SimulateCmd   `cmd:"" help:"Run seeds of faults in the simulator, in virtual time." name:"drill"`
		Hollow ScaleTestCmd  `cmd:"" help:"Run large fleets of hollow proxies, and fit what control costs." name:"hollow"`
		Crew   ProxyGroupCmd `cmd:"" hidden:"" help:"A process of hollow proxies." name:"crew"`
	}
	k := kong.Parse(&cli, kong.Name("testbed"), kong.Description("Runs a whole fleet of dunlinwell on one machine."))
	k.BindTo(daemon.SignalContext(), (*context.Context)(nil))
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "testbed: "+err.Error())
		os.Exit(1)
	}
}
