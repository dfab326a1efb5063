package cli

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"

	"dunlinwell/internal/controlplane/registry"
)

// CLI is the whole command line.
type CLI struct {
	Address string        `help:"HTTP address of any daemon." default:"127.0.0.1:7400" env:"DUNLINWELL_AT" placeholder:"IP:PORT" name:"at"`
	JSON    bool          `help:"Print answers as they come, in JSON." name:"json"`
	Timeout time.Duration `help:"How long to wait for an answer." default:"8s" name:"timeout"`

	Service struct{ ItemCommands } `cmd:"" help:"Services: pools of targets that announce themselves." name:"service"`
	Route   struct{ ItemCommands } `cmd:"" help:"Routes: how a request finds a service." name:"route"`
	Zone    struct {
		ItemCommands
		Empty  DrainZoneCmd     `cmd:"" help:"Take a cell out of new work." name:"empty"`
		Refill RestoreZoneCmd   `cmd:"" help:"Bring an emptied cell back." name:"refill"`
		Shut   EvacuateZoneCmd  `cmd:"" help:"Send nothing more to a cell's targets; its proxies go on with those of others." name:"shut"`
		Open   EndEvacuationCmd `cmd:"" help:"Let work go to a shut cell's targets again." name:"open"`
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

// StatusCmd shows how things stand.
type StatusCmd struct{}

// Run shows it.
func (s *StatusCmd) Run(c *Context) error {
	raw, err := c.Call("GET", "/v1/status", nil, nil)
	if err != nil {
		return err
	}
	return c.Print(raw, func() error {
		st, err := decodeResponse[registry.Status](raw)
		if err != nil {
			return err
		}
		printStatus(c, st)
		return nil
	})
}

func printStatus(c *Context, st registry.Status) {
	w := tabwriter.NewWriter(c.Out, 0, 4, 2, ' ', 0)
	defer w.Flush()
	force := "in force on every live proxy"
	if !st.InForce {
		force = fmt.Sprintf("not yet in force on %v", st.LaggingProxies)
	}
	fmt.Fprintf(w, "revision %d, %s (seen by registry %s)\n", st.Revision, force, st.Registry)
	fmt.Fprintln(w, "\nCELL\tUSED\tACCEPT\tTARGET\tMAX\tMAX IS\tCOUNTERS\tTARGETS\tSTATE")
	for _, x := range st.Zones {
		fmt.Fprintf(w, "%s\t%.0f\t%.0f\t%.0f\t%.0f\t%s\t%d\t%d\t%s\n", x.Name, x.Used, x.Acceptable, x.Target, x.Maximum, x.Learned, x.Proxies, x.Targets, x.State)
	}
	fmt.Fprintln(w, "\nMOVE\tROUTE\tSHARE\tMS/S\tWHY")
	for _, m := range st.Moves {
		fmt.Fprintf(w, "%s > %s\t%s\t%.1f%%\t%.0f\t%s\n", m.From, m.To, m.Route, m.Fraction*100, m.Amount, m.Reason)
	}
	fmt.Fprintln(w, "\nDAEMON\tROLE\tCELL\tADDRESS\tHTTP\tREVISION\tSTATE")
	for _, d := range st.Daemons {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%s\n", d.ID, d.Role, d.Zone, d.Address, d.HTTP, d.Revision, d.State)
	}
	fmt.Fprintln(w, "\nDUTY\tEPOCH\tPLAN\tHERE")
	for _, d := range st.Leaderships {
		fmt.Fprintf(w, "%s\t%d\t%d\t%t\n", d.Name, d.Epoch, d.PlanNumber, d.Held)
	}
	if len(st.Warnings) == 0 {
		fmt.Fprintln(w, "\nno problems")
		return
	}
	fmt.Fprintf(w, "\nPROBLEMS\n  %s\n", strings.Join(st.Warnings, "\n  "))
}

// Main runs the command line and gives its exit code.
func Main(args []string) int {
	err := run(args, func(cli CLI) *Context {
		return &Context{Address: cli.Address, JSON: cli.JSON, Out: os.Stdout, Timeout: cli.Timeout}
	})
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, "dunlinwell: "+err.Error())
	var e *ExitError
	if errors.As(err, &e) {
		return e.Code
	}
	return 1
}

// run reads a command line and runs it with the context made of its flags.
func run(args []string, with func(CLI) *Context, options ...kong.Option) error {
	var cli CLI
	k, err := kong.New(&cli, append(options, kong.Name("dunlinwell"), kong.Description("Drives dunlinwell through any of its daemons."), kong.Bind(ItemKind("")))...)
	if err != nil {
		return &ExitError{ExitUsage, err.Error()}
	}
	ctx, err := k.Parse(args)
	if err != nil {
		return &ExitError{ExitUsage, err.Error()}
	}
	word, _, _ := strings.Cut(ctx.Command(), " ")
	return ctx.Run(with(cli), ItemKind(word))
}
