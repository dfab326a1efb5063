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

// Options are the options of a run, and the functions that carry out its steps.
type Options struct {
	// Values holds the values of the runbook's parameters, by name.
	Values map[string]string
	// DryRun prints the steps without executing them.
	DryRun bool
	Out    io.Writer
	// Execute runs a command line and returns its answer in JSON.
	Execute func(words []string) ([]byte, error)
	// Confirm asks the operator to carry out an instruction. If it returns false, the run
	// stops.
	Confirm func(instruction string) bool
	// Pause waits between two observations.
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
			return errs.New(step, "", "missing parameter: --set %s=...", parameter)
		}
	}
	for name := range values {
		if !slices.Contains(b.Parameters, name) {
			return errs.New(step, "", "unknown parameter %q", name)
		}
	}
	return nil
}

// items returns the values for which a step is repeated. For a step without ForEach, and in
// a dry run, it returns one empty value.
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

// expand replaces the placeholders in a text with their values.
func (o Options) expand(text, item string) string {
	for name, value := range o.Values {
		text = strings.ReplaceAll(text, "{"+name+"}", value)
	}
	if item != "" {
		text = strings.ReplaceAll(text, "{"+itemPlaceholder+"}", item)
	}
	return text
}

// expandAll expands each word.
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
		return errs.New("manual step", "", "not confirmed by the operator")
	}
	var answer []byte
	if len(s.Command) > 0 {
		if answer, err = o.Execute(o.expandAll(s.Command, item)); err != nil {
			return err
		}
	}
	return o.awaitChecks(s, item, string(answer), before)
}

// observation returns the command line whose answer the checks evaluate.
func (s *Step) observation() []string {
	if len(s.Observe) > 0 {
		return s.Observe
	}
	return s.Command
}

// observeBefore returns the answer from before the step if a check compares with it, and
// otherwise the empty string.
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

// awaitChecks repeats the observation until every check passes or the step times out. If
// the step has only a command, the checks are evaluated once, on the command's answer: the
// command isn't repeated, because it may not be idempotent.
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
			fmt.Fprintf(o.Out, "   checks passed\n")
			return nil
		}
		if !repeats || !o.Now().Before(deadline) {
			return failure
		}
	}
}

// evaluateAll returns an error for the first check that fails.
func (o Options) evaluateAll(checks []Check, item, answer, before string) error {
	for _, c := range checks {
		if err := o.evaluate(c, item, answer, before); err != nil {
			return err
		}
	}
	return nil
}

// evaluate returns an error if a check of an answer fails.
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
		return failure("different from before the step")
	case c.LessThan != nil && (value.Type != gjson.Number || value.Num >= *c.LessThan):
		return failure(fmt.Sprintf("less than %g", *c.LessThan))
	}
	return nil
}

// describe prints a step in a dry run.
func (o Options) describe(s *Step, item string) {
	if s.ForEach != "" {
		fmt.Fprintf(o.Out, "   for each of %s\n", o.expand(s.ForEach, item))
	}
	if s.Instruction != "" {
		fmt.Fprintf(o.Out, "   manual step: %s\n", o.expand(s.Instruction, item))
	}
	if len(s.Command) > 0 {
		fmt.Fprintf(o.Out, "   dunlinwell %s\n", strings.Join(o.expandAll(s.Command, item), " "))
	}
	for _, c := range s.Checks {
		fmt.Fprintf(o.Out, "   check %s, within %s\n", o.expand(c.Path, item), s.timeout)
	}
}
