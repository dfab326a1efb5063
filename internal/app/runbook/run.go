package runbook

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/tidwall/gjson"

	"dunlinwell/internal/base/errs"
)

// Options are the options of a run.
type Options struct {
	Values map[string]string
	DryRun bool
	Out    io.Writer
	// Execute runs a dunlinwell command and gives its answer in JSON.
	Execute func(words []string) ([]byte, error)
	// Confirm lets the operator do what a step says; false stops the book.
	Confirm func(what string) bool
	// Pause waits a little between two looks.
	Pause func()
	Now   func() time.Time
}

// Run runs a book and stops at the first problem.
func (b *Book) Run(p Options) error {
	for _, n := range b.Parameters {
		if p.Values[n] == "" {
			return errs.New("run "+b.Name, "", "it needs --set %s=...", n)
		}
	}
	for n := range p.Values {
		if !slices.Contains(b.Parameters, n) {
			return errs.New("run "+b.Name, "", "it has no use for %q", n)
		}
	}
	fmt.Fprintf(p.Out, "%s: %s\n", b.Name, p.expand(b.Description, ""))
	for i, s := range b.Steps {
		items := []string{""}
		if s.ForEach != "" && !p.DryRun {
			raw, err := p.Execute([]string{"status"})
			if err != nil {
				return errs.Wrap(err, fmt.Sprintf("%s step %d", b.Name, i+1), "")
			}
			items = nil
			for _, v := range gjson.GetBytes(raw, p.expand(s.ForEach, "")).Array() {
				items = append(items, v.String())
			}
		}
		for _, item := range items {
			if err := p.runStep(i+1, &s, item); err != nil {
				return errs.Wrap(err, fmt.Sprintf("%s step %d (%s)", b.Name, i+1, p.expand(s.Name, item)), "")
			}
		}
	}
	fmt.Fprintf(p.Out, "%s: done\n", b.Name)
	return nil
}

// expand puts values into holes.
func (o Options) expand(s, item string) string {
	for k, v := range o.Values {
		s = strings.ReplaceAll(s, "{"+k+"}", v)
	}
	if item != "" {
		s = strings.ReplaceAll(s, "{item}", item)
	}
	return s
}

func (o Options) expandAll(list []string, item string) []string {
	out := make([]string, len(list))
	for i, w := range list {
		out[i] = o.expand(w, item)
	}
	return out
}

func (o Options) runStep(n int, s *Step, item string) error {
	fmt.Fprintf(o.Out, "%d. %s\n", n, o.expand(s.Name, item))
	if o.DryRun {
		o.describe(s, item)
		return nil
	}
	look := s.Observe
	if len(look) == 0 {
		look = s.Command
	}
	before := ""
	for _, c := range s.Checks {
		if c.Changed {
			raw, err := o.Execute(o.expandAll(look, item))
			if err != nil {
				return err
			}
			before = string(raw)
		}
	}
	if s.Instruction != "" && !o.Confirm(o.expand(s.Instruction, item)) {
		return errs.New("hands", "", "stopped by the operator")
	}
	var raw []byte
	var err error
	if len(s.Command) > 0 {
		// A command that changes something is sent once; only looks repeat.
		if raw, err = o.Execute(o.expandAll(s.Command, item)); err != nil {
			return err
		}
	}
	return o.awaitChecks(s, item, look, raw, before)
}

// awaitChecks looks until every check holds, or the time is over.
func (o Options) awaitChecks(s *Step, item string, look []string, raw []byte, before string) error {
	if len(s.Checks) == 0 {
		return nil
	}
	var err error
	for until := o.Now().Add(s.timeout); ; o.Pause() {
		if len(s.Observe) > 0 || len(s.Command) == 0 {
			raw, err = o.Execute(o.expandAll(look, item))
		}
		fault := err
		for _, c := range s.Checks {
			if fault == nil {
				fault = o.evaluate(c, item, string(raw), before)
			}
		}
		if fault == nil {
			fmt.Fprintf(o.Out, "   holds\n")
			return nil
		}
		if len(s.Observe) == 0 && len(s.Command) > 0 || !o.Now().Before(until) {
			return fault
		}
	}
}

func (o Options) evaluate(c Check, item, raw, before string) error {
	path := o.expand(c.Path, item)
	v := gjson.Get(raw, path)
	bad := func(want string) error {
		return errs.New("check", "", "%s is %q, but should be %s", path, v.String(), want)
	}
	switch {
	case c.Equals != nil && v.String() != o.expand(*c.Equals, item):
		return bad(o.expand(*c.Equals, item))
	case c.NotEquals != nil && v.String() == o.expand(*c.NotEquals, item):
		return bad("something other than " + o.expand(*c.NotEquals, item))
	case c.Empty && v.Exists() && v.Type != gjson.Null && len(v.Array()) > 0:
		return bad("empty")
	case c.Changed && (!v.Exists() || v.String() == gjson.Get(before, path).String()):
		return bad("another than before")
	case c.LessThan != nil && (v.Type != gjson.Number || v.Num >= *c.LessThan):
		return bad(fmt.Sprintf("under %g", *c.LessThan))
	}
	return nil
}

// describe says what a step would do.
func (o Options) describe(s *Step, item string) {
	if s.ForEach != "" {
		fmt.Fprintf(o.Out, "   for each of %s\n", o.expand(s.ForEach, item))
	}
	if s.Instruction != "" {
		fmt.Fprintf(o.Out, "   by hand: %s\n", o.expand(s.Instruction, item))
	}
	if len(s.Command) > 0 {
		fmt.Fprintf(o.Out, "   dunlinwell %s\n", strings.Join(o.expandAll(s.Command, item), " "))
	}
	for _, c := range s.Checks {
		fmt.Fprintf(o.Out, "   check %s, within %s\n", o.expand(c.Path, item), s.timeout)
	}
}
