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

// AllowedCommands are the commands that steps may run.
var AllowedCommands = []string{"service", "route", "cell", "change", "policy", "where", "status", "core"}

// defaultTimeout is that of steps that name none.
const defaultTimeout = 10 * time.Second

// itemPlaceholder is the name of the placeholder for an item of Step.ForEach.
const itemPlaceholder = "item"

var placeholderPattern = regexp.MustCompile(`\{[a-z_]+\}`)

// Read reads a runbook in YAML and checks all of it: unknown fields, commands and
// placeholders are errors that name the file and the step.
func Read(file string, raw []byte) (*Book, error) {
	const step = "read runbook"
	var b Book
	if err := yaml.UnmarshalStrict(raw, &b); err != nil {
		return nil, errs.Wrap(err, step, file)
	}
	if b.Name == "" || len(b.Steps) == 0 {
		return nil, errs.New(step, file, "it has no name or no steps")
	}
	for i := range b.Steps {
		if err := b.validateStep(&b.Steps[i]); err != nil {
			return nil, errs.New(step, file, "step %d (%s): %w", i+1, b.Steps[i].Name, err)
		}
	}
	return &b, nil
}

// validateStep checks a step and sets its time-out.
func (b *Book) validateStep(s *Step) error {
	switch {
	case s.Name == "":
		return errors.New("it has no name")
	case len(s.Command) == 0 && s.Instruction == "" && len(s.Observe) == 0:
		return errors.New("it neither says, runs nor looks at anything")
	case len(s.Checks) == 0 && s.Instruction == "":
		return errors.New("it has no check of its result")
	}
	for _, words := range [][]string{s.Command, s.Observe} {
		if len(words) > 0 && !slices.Contains(AllowedCommands, words[0]) {
			return fmt.Errorf("there is no command %q", words[0])
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
		return fmt.Errorf("within: %q is no span of time", s.Timeout)
	}
	s.timeout = timeout
	return nil
}

// validatePlaceholders checks that a run has a value for each placeholder of a step.
func (b *Book) validatePlaceholders(s *Step) error {
	known := slices.Clone(b.Parameters)
	if s.ForEach != "" {
		known = append(known, itemPlaceholder)
	}
	for _, placeholder := range placeholderPattern.FindAllString(s.templates(), -1) {
		if !slices.Contains(known, placeholder[1:len(placeholder)-1]) {
			return fmt.Errorf("%s is not among what the runbook needs", placeholder)
		}
	}
	return nil
}

// templates gives all texts of the step that may have placeholders.
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

// validate checks that a check has a path and one comparison.
func (c Check) validate() error {
	comparisons := 0
	for _, given := range []bool{c.Equals != nil, c.NotEquals != nil, c.Empty, c.Changed, c.LessThan != nil} {
		if given {
			comparisons++
		}
	}
	if c.Path == "" || comparisons != 1 {
		return errors.New("a check needs a path and one of is, not, none, changed, under")
	}
	return nil
}
