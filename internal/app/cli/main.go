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
	JSON    bool          `help:"Print answers as they come, in JSON." name:"json"`
	Timeout time.Duration `help:"How long to wait for an answer." default:"8s" name:"timeout"`

	Service struct{ ItemCommands } `cmd:"" help:"Services: pools of targets that announce themselves." name:"service"`
	Route   struct{ ItemCommands } `cmd:"" help:"Routes: how a request finds a service." name:"route"`
	Zone    struct {
		ItemCommands
		Drain         DrainZoneCmd     `cmd:"" help:"Take a cell out of new work." name:"empty"`
		Restore       RestoreZoneCmd   `cmd:"" help:"Bring an emptied cell back." name:"refill"`
		Evacuate      EvacuateZoneCmd  `cmd:"" help:"Send nothing more to a cell's targets; its proxies go on with those of others." name:"shut"`
		EndEvacuation EndEvacuationCmd `cmd:"" help:"Let work go to a shut cell's targets again." name:"open"`
	} `cmd:"" help:"Cells: set points, distances, emptying." name:"cell"`
	Change        ChangeCmd        `cmd:"" help:"Send a whole change; all of it or nothing takes effect." name:"change"`
	Merge         MergeCmd         `cmd:"" help:"Merge items whose versions you give; for each name the highest holds." name:"merge"`
	Configuration ConfigurationCmd `cmd:"" help:"Show the whole policy." name:"policy"`
	Resolve       ResolveCmd       `cmd:"" help:"Ask the directory where to go." name:"where"`
	Status        StatusCmd        `cmd:"" help:"Show cells, moves, daemons, duties and problems." name:"status"`
	Apply         ApplyCmd         `cmd:"" help:"Send Kubernetes-style objects as one whole change." name:"apply"`
	Runbook       RunbookCmd       `cmd:"" help:"Executable runbooks: each step a command with a check of its result." name:"runbook"`
	Core          CoreCmd          `cmd:"" help:"For the store that is left after a great loss." name:"core"`
}

// Main runs a command line, prints an error to standard error, and gives the exit code.
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

// run parses a command line and runs the command, with the context that newContext
// makes from the flags.
func run(args []string, newContext func(CLI) *Context, options ...kong.Option) error {
	var cli CLI
	options = append(options, kong.Name(programName), kong.Description("Drives dunlinwell through any of its daemons."), kong.Bind(ItemKind("")))
	parser, err := kong.New(&cli, options...)
	if err != nil {
		return &ExitError{ExitUsage, err.Error()}
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		return &ExitError{ExitUsage, err.Error()}
	}
	// The first word of an item's command is the item's kind.
	kind, _, _ := strings.Cut(parsed.Command(), " ")
	return parsed.Run(newContext(cli), ItemKind(kind))
}
