package cli

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kong"

	"dunlinwell/internal/app/runbook"
)

// observationInterval is the polling interval of a step's checks.
const observationInterval = 250 * time.Millisecond

// RunbookCmd holds the commands on runbooks.
type RunbookCmd struct {
	List  RunbookListCmd  `cmd:"" help:"List the bundled runbooks." name:"list"`
	Show  RunbookShowCmd  `cmd:"" help:"Print a bundled runbook." name:"show"`
	Run   RunbookRunCmd   `cmd:"" help:"Run a runbook; stop at the first failed step." name:"run"`
	Check RunbookCheckCmd `cmd:"" help:"Validate a runbook file." name:"check"`
}

// RunbookListCmd lists the bundled runbooks.
type RunbookListCmd struct{}

// Run runs the command.
func (l *RunbookListCmd) Run(c *Context) error {
	for _, name := range runbook.BundledNames() {
		raw, err := runbook.ReadBundled(name)
		if err != nil {
			return err
		}
		book, err := runbook.Read(name, raw)
		if err != nil {
			return err
		}
		fmt.Fprintf(c.Out, "%-14s %s  parameters: %s\n", name, book.Description, strings.Join(book.Parameters, ", "))
	}
	return nil
}

// RunbookShowCmd prints a bundled runbook.
type RunbookShowCmd struct {
	Name string `arg:"" name:"name"`
}

// Run runs the command.
func (s *RunbookShowCmd) Run(c *Context) error {
	raw, err := runbook.ReadBundled(s.Name)
	if err != nil {
		return &ExitError{ExitUsage, err.Error()}
	}
	_, err = c.Out.Write(raw)
	return err
}

// RunbookCheckCmd validates a runbook from a file.
type RunbookCheckCmd struct {
	File string `arg:"" name:"file"`
}

// Run runs the command.
func (k *RunbookCheckCmd) Run(c *Context) error {
	raw, err := readFile(k.File)
	if err != nil {
		return err
	}
	if _, err := runbook.Read(k.File, raw); err != nil {
		return &ExitError{ExitUsage, err.Error()}
	}
	fmt.Fprintln(c.Out, "valid")
	return nil
}

// RunbookRunCmd runs a runbook.
type RunbookRunCmd struct {
	Name   string            `arg:"" help:"Name of a bundled runbook, or path of a file with --file." name:"name"`
	IsFile bool              `help:"Treat the name as the path of a file." name:"file"`
	Values map[string]string `help:"Values of the runbook's parameters, as name=value." name:"set"`
	DryRun bool              `help:"Print the steps without executing them." name:"dry-run"`
	Yes    bool              `help:"Continue after manual steps without confirmation." name:"yes"`
}

// Run runs the command.
func (r *RunbookRunCmd) Run(c *Context) error {
	book, err := r.read()
	if err != nil {
		return &ExitError{ExitUsage, err.Error()}
	}
	return book.Run(runbook.Options{
		Values: r.Values, DryRun: r.DryRun, Out: c.Out, Now: time.Now,
		Pause:   func() { time.Sleep(observationInterval) },
		Execute: func(words []string) ([]byte, error) { return RunJSON(c, words) },
		Confirm: r.confirm(c.Out, bufio.NewReader(os.Stdin)),
	})
}

// read reads the runbook that the command names.
func (r *RunbookRunCmd) read() (*runbook.Book, error) {
	readText := runbook.ReadBundled
	if r.IsFile {
		readText = readFile
	}
	raw, err := readText(r.Name)
	if err != nil {
		return nil, err
	}
	return runbook.Read(r.Name, raw)
}

// confirm returns a function that asks the operator to carry out a manual step and reports
// whether they confirmed it. With --yes, it prints the instruction without asking.
func (r *RunbookRunCmd) confirm(out io.Writer, in *bufio.Reader) func(instruction string) bool {
	return func(instruction string) bool {
		fmt.Fprintf(out, "   manual step: %s\n", instruction)
		if r.Yes {
			return true
		}
		fmt.Fprint(out, "   done? [y/N] ")
		// At the end of the input, the answer is empty, which means no.
		answer, _ := in.ReadString('\n')
		return strings.HasPrefix(strings.ToLower(strings.TrimSpace(answer)), "y")
	}
}

// RunJSON runs one command line within this process and returns its answer in JSON.
func RunJSON(c *Context, words []string) ([]byte, error) {
	var out bytes.Buffer
	newContext := func(CLI) *Context {
		return &Context{Address: c.Address, JSON: true, Out: &out, Timeout: c.Timeout}
	}
	// Without this option, kong would exit the process for --help or an error.
	err := run(words, newContext, kong.Exit(func(int) {}))
	var exit *ExitError
	if errors.As(err, &exit) {
		return nil, err
	}
	return out.Bytes(), err
}
