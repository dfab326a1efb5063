package cli

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kong"

	"dunlinwell/internal/app/manifest"
	"dunlinwell/internal/app/runbook"
)

// ApplyCmd sends Kubernetes-style objects as one whole change.
type ApplyCmd struct {
	File     string `short:"f" required:"" help:"File with one or more objects, YAML or JSON; - for standard input." name:"file"`
	ChangeID string `help:"Id of the change." name:"change-id"`
}

// Run sends them.
func (a *ApplyCmd) Run(c *Context) error {
	raw, err := readFile(a.File)
	if err != nil {
		return err
	}
	id := a.ChangeID
	if id == "" {
		id = c.newChangeID("/v1/change")
	}
	change, faults := manifest.Read(id, raw)
	if len(faults) > 0 {
		var lines []string
		for _, f := range faults {
			lines = append(lines, strings.Join([]string{f.Item, f.Path, f.Reason}, ": "))
		}
		return &ExitError{ExitRejected, "declined, nothing sent: " + strings.Join(lines, "; ")}
	}
	return c.submitChange("POST", "/v1/change", change, nil)
}

// CoreCmd is for the store that is left after a great loss.
type CoreCmd struct {
	Recover RecoverCmd `cmd:"" help:"Go on from the one store that is left, with two blank ones. Only after two disks are lost for good." name:"refound"`
}

// RecoverCmd asks the store at --at to go on alone.
type RecoverCmd struct {
	AcceptLoss bool `help:"Yes, what only the lost disks held is lost." required:"" name:"accept-loss"`
}

// Run asks.
func (r *RecoverCmd) Run(c *Context) error {
	raw, err := c.Call("POST", "/v1/core/refound", []byte(`{"accept_loss":true}`), nil)
	if err != nil {
		return err
	}
	return c.Print(raw, func() error {
		fmt.Fprintf(c.Out, "%s\n", bytes.TrimSpace(raw))
		return nil
	})
}

// RunbookCmd is the runbooks.
type RunbookCmd struct {
	List  RunbookListCmd  `cmd:"" help:"List the runbooks that come with dunlinwell." name:"list"`
	Show  RunbookShowCmd  `cmd:"" help:"Print a runbook." name:"show"`
	Run   RunbookRunCmd   `cmd:"" help:"Run a runbook, and stop at the first problem." name:"run"`
	Check RunbookCheckCmd `cmd:"" help:"Read a runbook of your own and check it." name:"check"`
}

// RunbookListCmd lists.
type RunbookListCmd struct{}

// Run lists.
func (b *RunbookListCmd) Run(c *Context) error {
	for _, n := range runbook.BundledNames() {
		raw, err := runbook.ReadBundled(n)
		if err != nil {
			return err
		}
		book, err := runbook.Read(n, raw)
		if err != nil {
			return err
		}
		fmt.Fprintf(c.Out, "%-14s %s  needs: %s\n", n, book.Description, strings.Join(book.Parameters, ", "))
	}
	return nil
}

// RunbookShowCmd prints.
type RunbookShowCmd struct {
	Name string `arg:"" name:"name"`
}

// Run prints.
func (b *RunbookShowCmd) Run(c *Context) error {
	raw, err := runbook.ReadBundled(b.Name)
	if err != nil {
		return &ExitError{ExitUsage, err.Error()}
	}
	_, err = c.Out.Write(raw)
	return err
}

// RunbookCheckCmd checks.
type RunbookCheckCmd struct {
	File string `arg:"" name:"file"`
}

// Run checks.
func (b *RunbookCheckCmd) Run(c *Context) error {
	raw, err := readFile(b.File)
	if err != nil {
		return err
	}
	if _, err := runbook.Read(b.File, raw); err != nil {
		return &ExitError{ExitUsage, err.Error()}
	}
	fmt.Fprintln(c.Out, "fine")
	return nil
}

// RunbookRunCmd runs.
type RunbookRunCmd struct {
	Name   string            `arg:"" help:"Name of a shipped runbook, or a file with --file." name:"name"`
	IsFile bool              `help:"Name is a file." name:"file"`
	Values map[string]string `help:"Values that the runbook needs, as name=value." name:"set"`
	DryRun bool              `help:"Say what would be done, and do nothing." name:"dry-run"`
	Yes    bool              `help:"Go on after each step by hand without asking." name:"yes"`
}

// Run runs it.
func (b *RunbookRunCmd) Run(c *Context) error {
	find := runbook.ReadBundled
	if b.IsFile {
		find = readFile
	}
	raw, err := find(b.Name)
	if err != nil {
		return &ExitError{ExitUsage, err.Error()}
	}
	book, err := runbook.Read(b.Name, raw)
	if err != nil {
		return &ExitError{ExitUsage, err.Error()}
	}
	in := bufio.NewReader(os.Stdin)
	return book.Run(runbook.Options{
		Values: b.Values, DryRun: b.DryRun, Out: c.Out, Now: time.Now,
		Pause:   func() { time.Sleep(250 * time.Millisecond) },
		Execute: func(words []string) ([]byte, error) { return RunJSON(c, words) },
		Confirm: func(what string) bool {
			fmt.Fprintf(c.Out, "   by hand: %s\n", what)
			if b.Yes {
				return true
			}
			fmt.Fprint(c.Out, "   done? [y/N] ")
			line, _ := in.ReadString('\n')
			return strings.HasPrefix(strings.ToLower(strings.TrimSpace(line)), "y")
		},
	})
}

// RunJSON runs one command within this process and gives its JSON answer.
func RunJSON(c *Context, words []string) ([]byte, error) {
	var out bytes.Buffer
	err := run(words, func(CLI) *Context { return &Context{Address: c.Address, JSON: true, Out: &out, Timeout: c.Timeout} }, kong.Exit(func(int) {}))
	var e *ExitError
	if errors.As(err, &e) {
		return nil, err
	}
	return out.Bytes(), err
}
