package runbook

import (
	"errors"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"

	"sigs.k8s.io/yaml"

	"dunlinwell/internal/base/errs"
)

// AllowedCommands are the commands that a step can run.
var AllowedCommands = []string{"service", "route", "cell", "change", "policy", "where", "status", "core"}

// defaultTimeout is the timeout of steps that don't set one.
const defaultTimeout = 10 * time.Second

// itemPlaceholder is the name of the placeholder for an item of Step.ForEach.
const itemPlaceholder = "item"

var placeholderPattern = regexp.MustCompile(`\{[a-z_]+\}`)

// Read decodes a runbook from YAML and validates it. Unknown fields, commands and
// placeholders are errors; an error names the file and, if possible, the step.
func Read(file string, raw []byte) (*Book, error) {
	const step = "read runbook"
	var b Book
	if err := yaml.UnmarshalStrict(raw, &b); err != nil {
		return nil, errs.Wrap(err, step, file)
	}
	if b.Name == "" || len(b.Steps) == 0 {
		return nil, errs.New(step, file, "runbook has no name or no steps")
	}
	for i := range b.Steps {
		if err := b.validateStep(&b.Steps[i]); err != nil {
			return nil, errs.New(step, file, "step %d (%s): %w", i+1, b.Steps[i].Name, err)
		}
	}
	return &b, nil
}

// validateStep validates a step and sets its timeout.
func (b *Book) validateStep(s *Step) error {
	switch {
	case s.Name == "":
		return errors.New("missing name")
	case len(s.Command) == 0 && s.Instruction == "" && len(s.Observe) == 0:
		return errors.New("needs at least one of say, run and look")
	case len(s.Checks) == 0 && s.Instruction == "":
		return errors.New("missing checks (until)")
	}
	for _, words := range [][]string{s.Command, s.Observe} {
		if len(words) > 0 && !slices.Contains(AllowedCommands, words[0]) {
			return fmt.Errorf("unknown command %q", words[0])
		}
	}
	if err := s.parseTimeout(); err != nil {
		return err
	}
	for _, c := range s.Checks {
		if err := c.validate(); err != nil {
			return err
		}
	}
	return b.validatePlaceholders(s)
}

func (s *Step) parseTimeout() error {
	s.timeout = defaultTimeout
	if s.Timeout == "" {
		return nil
	}
	timeout, err := time.ParseDuration(s.Timeout)
	if err != nil || timeout <= 0 {
		return fmt.Errorf("within: %q is not a positive duration", s.Timeout)
	}
	s.timeout = timeout
	return nil
}

// validatePlaceholders checks that each placeholder of a step is a parameter or {item}.
func (b *Book) validatePlaceholders(s *Step) error {
	known := slices.Clone(b.Parameters)
	if s.ForEach != "" {
		known = append(known, itemPlaceholder)
	}
	for _, placeholder := range placeholderPattern.FindAllString(s.templates(), -1) {
		if !slices.Contains(known, placeholder[1:len(placeholder)-1]) {
			return fmt.Errorf("placeholder %s is not a parameter of the runbook (needs)", placeholder)
		}
	}
	return nil
}

// templates returns all texts of the step that may contain placeholders.
func (s *Step) templates() string {
	texts := slices.Concat([]string{s.Name, s.Instruction}, s.Command, s.Observe)
	for _, c := range s.Checks {
		texts = append(texts, c.Path)
		for _, value := range []*string{c.Equals, c.NotEquals} {
			if value != nil {
				texts = append(texts, *value)
			}
		}
	}
	return strings.Join(texts, " ")
}

// validate checks that c has a path and exactly one comparison.
func (c Check) validate() error {
	comparisons := 0
	for _, given := range []bool{c.Equals != nil, c.NotEquals != nil, c.Empty, c.Changed, c.LessThan != nil} {
		if given {
			comparisons++
		}
	}
	if c.Path == "" || comparisons != 1 {
		return errors.New("a check needs a path and exactly one of is, not, none, changed and under")
	}
	return nil
}
