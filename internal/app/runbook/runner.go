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

// Options are the options of a run, and the functions by which it acts.
type Options struct {
	// Values are those of the runbook's parameters.
	Values map[string]string
	// DryRun prints what would be done, and does nothing.
	DryRun bool
	Out    io.Writer
	// Execute runs a command line and gives its answer in JSON.
	Execute func(words []string) ([]byte, error)
	// Confirm has the operator follow an instruction; false stops the run.
	Confirm func(instruction string) bool
	// Pause waits a little between two observations.
	Pause func()
	Now   func() time.Time
}

// Run runs the runbook and stops at the first step that fails.
func (b *Book) Run(o Options) error {
	if err := b.validateValues(o.Values); err != nil {
		return err
	}
	fmt.Fprintf(o.Out, "%s: %s\n", b.Name, o.expand(b.Description, ""))
	for i := range b.Steps {
		number, step := i+1, &b.Steps[i]
		items, err := o.items(step)
		if err != nil {
			return errs.Wrap(err, fmt.Sprintf("%s step %d", b.Name, number), "")
		}
		for _, item := range items {
			if err := o.runStep(number, step, item); err != nil {
				return errs.Wrap(err, fmt.Sprintf("%s step %d (%s)", b.Name, number, o.expand(step.Name, item)), "")
			}
		}
	}
	fmt.Fprintf(o.Out, "%s: done\n", b.Name)
	return nil
}

// validateValues checks that each parameter has a value, and each value a parameter.
func (b *Book) validateValues(values map[string]string) error {
	step := "run " + b.Name
	for _, parameter := range b.Parameters {
		if values[parameter] == "" {
			return errs.New(step, "", "it needs --set %s=...", parameter)
		}
	}
	for name := range values {
		if !slices.Contains(b.Parameters, name) {
			return errs.New(step, "", "it has no use for %q", name)
		}
	}
	return nil
}

// items gives the values for which a step is repeated; one empty value for a step
// without ForEach, and in a dry run.
func (o Options) items(s *Step) ([]string, error) {
	if s.ForEach == "" || o.DryRun {
		return []string{""}, nil
	}
	status, err := o.Execute([]string{"status"})
	if err != nil {
		return nil, err
	}
	var items []string
	for _, value := range gjson.GetBytes(status, o.expand(s.ForEach, "")).Array() {
		items = append(items, value.String())
	}
	return items, nil
}

// expand replaces the placeholders of a text by their values.
func (o Options) expand(text, item string) string {
	for name, value := range o.Values {
		text = strings.ReplaceAll(text, "{"+name+"}", value)
	}
	if item != "" {
		text = strings.ReplaceAll(text, "{"+itemPlaceholder+"}", item)
	}
	return text
}

// expandAll replaces the placeholders of each word.
func (o Options) expandAll(words []string, item string) []string {
	expanded := make([]string, len(words))
	for i, word := range words {
		expanded[i] = o.expand(word, item)
	}
	return expanded
}

// runStep runs one step for one item.
func (o Options) runStep(number int, s *Step, item string) error {
	fmt.Fprintf(o.Out, "%d. %s\n", number, o.expand(s.Name, item))
	if o.DryRun {
		o.describe(s, item)
		return nil
	}
	before, err := o.observeBefore(s, item)
	if err != nil {
		return err
	}
	if s.Instruction != "" && !o.Confirm(o.expand(s.Instruction, item)) {
		return errs.New("hands", "", "stopped by the operator")
	}
	var answer []byte
	if len(s.Command) > 0 {
		if answer, err = o.Execute(o.expandAll(s.Command, item)); err != nil {
			return err
		}
	}
	return o.awaitChecks(s, item, string(answer), before)
}

// observation gives the command line whose answer the checks are made on.
func (s *Step) observation() []string {
	if len(s.Observe) > 0 {
		return s.Observe
	}
	return s.Command
}

// observeBefore gives the answer from before the step, if a check compares with it.
func (o Options) observeBefore(s *Step, item string) (string, error) {
	before := ""
	for _, c := range s.Checks {
		if !c.Changed {
			continue
		}
		raw, err := o.Execute(o.expandAll(s.observation(), item))
		if err != nil {
			return "", err
		}
		before = string(raw)
	}
	return before, nil
}

// awaitChecks observes until every check holds, or the step's time-out is over. A step
// that only has a command is checked once, on the command's answer: the command isn't
// repeated, as it may change something.
func (o Options) awaitChecks(s *Step, item, answer, before string) error {
	if len(s.Checks) == 0 {
		return nil
	}
	repeats := len(s.Observe) > 0 || len(s.Command) == 0
	for deadline := o.Now().Add(s.timeout); ; o.Pause() {
		var failure error
		if repeats {
			var raw []byte
			raw, failure = o.Execute(o.expandAll(s.observation(), item))
			answer = string(raw)
		}
		if failure == nil {
			failure = o.evaluateAll(s.Checks, item, answer, before)
		}
		if failure == nil {
			fmt.Fprintf(o.Out, "   holds\n")
			return nil
		}
		if !repeats || !o.Now().Before(deadline) {
			return failure
		}
	}
}

// evaluateAll gives the first check that doesn't hold, as an error.
func (o Options) evaluateAll(checks []Check, item, answer, before string) error {
	for _, c := range checks {
		if err := o.evaluate(c, item, answer, before); err != nil {
			return err
		}
	}
	return nil
}

// evaluate gives an error if a check doesn't hold on an answer.
func (o Options) evaluate(c Check, item, answer, before string) error {
	path := o.expand(c.Path, item)
	value := gjson.Get(answer, path)
	failure := func(want string) error {
		return errs.New("check", "", "%s is %q, but should be %s", path, value.String(), want)
	}
	switch {
	case c.Equals != nil && value.String() != o.expand(*c.Equals, item):
		return failure(o.expand(*c.Equals, item))
	case c.NotEquals != nil && value.String() == o.expand(*c.NotEquals, item):
		return failure("something other than " + o.expand(*c.NotEquals, item))
	case c.Empty && value.Exists() && value.Type != gjson.Null && len(value.Array()) > 0:
		return failure("empty")
	case c.Changed && (!value.Exists() || value.String() == gjson.Get(before, path).String()):
		return failure("another than before")
	case c.LessThan != nil && (value.Type != gjson.Number || value.Num >= *c.LessThan):
		return failure(fmt.Sprintf("under %g", *c.LessThan))
	}
	return nil
}

// describe prints what a step would do.
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
