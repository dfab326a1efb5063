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
	At      string        `help:"HTTP address of any daemon." default:"127.0.0.1:7400" env:"DUNLINWELL_AT" placeholder:"IP:PORT"`
	JSON    bool          `help:"Print answers as they come, in JSON." name:"json"`
	Timeout time.Duration `help:"How long to wait for an answer." default:"8s"`

	Service struct{ Items } `cmd:"" help:"Services: pools of targets that announce themselves."`
	Route   struct{ Items } `cmd:"" help:"Routes: how a request finds a service."`
	Cell    struct {
		Items
		Empty  EmptyCmd  `cmd:"" help:"Take a cell out of new work."`
		Refill RefillCmd `cmd:"" help:"Bring an emptied cell back."`
		Shut   ShutCmd   `cmd:"" help:"Send nothing more to a cell's targets; its proxies go on with those of others."`
		Open   OpenCmd   `cmd:"" help:"Let work go to a shut cell's targets again."`
	} `cmd:"" help:"Cells: set points, distances, emptying."`
	Change  ChangeCmd `cmd:"" help:"Send a whole change; all of it or nothing takes effect."`
	Merge   MergeCmd  `cmd:"" help:"Merge items whose versions you give; for each name the highest holds."`
	Policy  PolicyCmd `cmd:"" help:"Show the whole policy."`
	Where   WhereCmd  `cmd:"" help:"Ask the directory where to go."`
	Status  StatusCmd `cmd:"" help:"Show cells, moves, daemons, duties and problems."`
	Apply   ApplyCmd  `cmd:"" help:"Send Kubernetes-style objects as one whole change."`
	Runbook BookCmd   `cmd:"" help:"Executable runbooks: each step a command with a check of its result."`
	Core    CoreCmd   `cmd:"" help:"For the store that is left after a great loss."`
}

// StatusCmd shows how things stand.
type StatusCmd struct{}

// Run shows it.
func (s *StatusCmd) Run(c *Context) error {
	raw, err := c.Call("GET", "/v1/status", nil, nil)
	if err != nil {
		return err
	}
	return c.Show(raw, func() error {
		st, err := open[registry.Status](raw)
		if err != nil {
			return err
		}
		show(c, st)
		return nil
	})
}

func show(c *Context, st registry.Status) {
	w := tabwriter.NewWriter(c.Out, 0, 4, 2, ' ', 0)
	defer w.Flush()
	force := "in force on every live proxy"
	if !st.InForce {
		force = fmt.Sprintf("not yet in force on %v", st.Behind)
	}
	fmt.Fprintf(w, "revision %d, %s (seen by registry %s)\n", st.Revision, force, st.Registry)
	fmt.Fprintln(w, "\nCELL\tUSED\tACCEPT\tTARGET\tMAX\tMAX IS\tCOUNTERS\tTARGETS\tSTATE")
	for _, x := range st.Cells {
		fmt.Fprintf(w, "%s\t%.0f\t%.0f\t%.0f\t%.0f\t%s\t%d\t%d\t%s\n", x.Name, x.Used, x.Acceptable, x.Target, x.Maximum, x.Learned, x.Proxies, x.Targets, x.State)
	}
	fmt.Fprintln(w, "\nMOVE\tROUTE\tSHARE\tMS/S\tWHY")
	for _, m := range st.Moves {
		fmt.Fprintf(w, "%s > %s\t%s\t%.1f%%\t%.0f\t%s\n", m.From, m.To, m.Route, m.Fraction*100, m.Amount, m.Why)
	}
	fmt.Fprintln(w, "\nDAEMON\tROLE\tCELL\tADDRESS\tHTTP\tREVISION\tSTATE")
	for _, d := range st.Daemons {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%s\n", d.ID, d.Role, d.Cell, d.Address, d.HTTP, d.Revision, d.State)
	}
	fmt.Fprintln(w, "\nDUTY\tEPOCH\tPLAN\tHERE")
	for _, d := range st.Duties {
		fmt.Fprintf(w, "%s\t%d\t%d\t%t\n", d.Name, d.Epoch, d.Plan, d.Mine)
	}
	if len(st.Problems) == 0 {
		fmt.Fprintln(w, "\nno problems")
		return
	}
	fmt.Fprintf(w, "\nPROBLEMS\n  %s\n", strings.Join(st.Problems, "\n  "))
}

// Main runs the command line and gives its exit code.
func Main(args []string) int {
	err := run(args, func(cli CLI) *Context {
		return &Context{At: cli.At, JSON: cli.JSON, Out: os.Stdout, Timeout: cli.Timeout}
	})
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, "dunlinwell: "+err.Error())
	var e *Ended
	if errors.As(err, &e) {
		return e.Code
	}
	return 1
}

// run reads a command line and runs it with the context made of its flags.
func run(args []string, with func(CLI) *Context, options ...kong.Option) error {
	var cli CLI
	k, err := kong.New(&cli, append(options, kong.Name("dunlinwell"), kong.Description("Drives dunlinwell through any of its daemons."), kong.Bind(Kind("")))...)
	if err != nil {
		return &Ended{ExitUsage, err.Error()}
	}
	ctx, err := k.Parse(args)
	if err != nil {
		return &Ended{ExitUsage, err.Error()}
	}
	word, _, _ := strings.Cut(ctx.Command(), " ")
	return ctx.Run(with(cli), Kind(word))
}
