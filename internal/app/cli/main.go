package cli

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kong"
)

// programName is the command's name.
const programName = "dunlinwell"

// CLI holds the flags and commands of the command line.
type CLI struct {
	Address string        `help:"HTTP address of any daemon." default:"127.0.0.1:7400" env:"DUNLINWELL_AT" placeholder:"IP:PORT" name:"at"`
	JSON    bool          `help:"Print answers as JSON, as received." name:"json"`
	Timeout time.Duration `help:"Timeout of a call." default:"8s" name:"timeout"`

	Service struct{ ItemCommands } `cmd:"" help:"Manage services (pools of targets)." name:"service"`
	Route   struct{ ItemCommands } `cmd:"" help:"Manage routes, which map requests to services." name:"route"`
	Zone    struct {
		ItemCommands
		Drain         DrainZoneCmd     `cmd:"" help:"Drain a zone: direct new requests to other zones." name:"empty"`
		Restore       RestoreZoneCmd   `cmd:"" help:"Return a drained zone to service." name:"refill"`
		Evacuate      EvacuateZoneCmd  `cmd:"" help:"Evacuate a zone's targets; its proxies continue with the targets of other zones." name:"shut"`
		EndEvacuation EndEvacuationCmd `cmd:"" help:"Allow requests to the targets of an evacuated zone again." name:"open"`
	} `cmd:"" help:"Manage zones (cells): load levels, distances, draining." name:"cell"`
	Change        ChangeCmd        `cmd:"" help:"Apply a change of several items atomically." name:"change"`
	Merge         MergeCmd         `cmd:"" help:"Merge items with explicit versions; the highest version of each item wins." name:"merge"`
	Configuration ConfigurationCmd `cmd:"" help:"Print the whole configuration." name:"policy"`
	Resolve       ResolveCmd       `cmd:"" help:"Resolve a route to the proxies that a client should connect to." name:"where"`
	Status        StatusCmd        `cmd:"" help:"Show zones, spill-over, daemons, leaderships and problems." name:"status"`
	Apply         ApplyCmd         `cmd:"" help:"Apply Kubernetes-style objects as one change." name:"apply"`
	Runbook       RunbookCmd       `cmd:"" help:"Run executable runbooks, whose steps check their results." name:"runbook"`
	Core          CoreCmd          `cmd:"" help:"Recover the stores after the loss of a majority." name:"core"`
}

// Main runs a command line, prints an error to standard error and returns the exit code.
func Main(args []string) int {
	err := run(args, func(cli CLI) *Context {
		return &Context{Address: cli.Address, JSON: cli.JSON, Out: os.Stdout, Timeout: cli.Timeout}
	})
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, programName+": "+err.Error())
	var exit *ExitError
	if errors.As(err, &exit) {
		return exit.Code
	}
	return ExitFailure
}

// run parses a command line and runs the command with the context that newContext returns
// for the flags.
func run(args []string, newContext func(CLI) *Context, options ...kong.Option) error {
	var cli CLI
	options = append(options, kong.Name(programName), kong.Description("Controls a dunlinwell fleet through any of its daemons."), kong.Bind(ItemKind("")))
	parser, err := kong.New(&cli, options...)
	if err != nil {
		return &ExitError{ExitUsage, err.Error()}
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		return &ExitError{ExitUsage, err.Error()}
	}
	// The first word of a command on an item is the kind of the item.
	kind, _, _ := strings.Cut(parsed.Command(), " ")
	return parsed.Run(newContext(cli), ItemKind(kind))
}
