package testbed

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"sigs.k8s.io/yaml"

	"dunlinwell/internal/base/errs"
	"dunlinwell/internal/testsupport/blueprint"
)

// minReplacementGap is the minimum time between two replacements of core machines: the
// first replacement must have copied the registers before another machine is lost.
const minReplacementGap = Duration(20 * time.Second)

// maxBurst is the maximum number of changes that a step may send.
const maxBurst = 5000

// Script is a schedule of faults. docs/testbed.md describes its YAML form.
type Script struct {
	// Steps is sorted by At after ReadScript.
	Steps []Step `json:"steps"`
}

// Step is one fault.
type Step struct {
	// At is the time since the beginning of the load.
	At Duration `json:"at"`
	// Action is a key of actions.
	Action string `json:"do"`
	// Subject is the name of what the action affects. A split may have several, joined by "+".
	Subject string `json:"who"`
	// For is the duration of the fault; 0 for instantaneous actions.
	For Duration `json:"for"`
	// Count is the number of changes of a burst ("storm"); 0 for other actions.
	Count int `json:"count"`
}

// Duration is a time.Duration that is encoded like "1m30s".
type Duration time.Duration

// UnmarshalJSON decodes a non-negative duration.
func (d *Duration) UnmarshalJSON(raw []byte) error {
	parsed, err := time.ParseDuration(strings.Trim(string(raw), `"`))
	if err != nil || parsed < 0 {
		return fmt.Errorf("%s is not a valid duration", raw)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalJSON encodes the duration in the form that UnmarshalJSON decodes.
func (d Duration) MarshalJSON() ([]byte, error) { return []byte(`"` + d.String() + `"`), nil }

// String formats the duration as time.Duration does.
func (d Duration) String() string { return time.Duration(d).String() }

// ReadScript decodes a script in YAML, and validates every step against the plan and the
// length of the load. Errors name the file and the step.
func ReadScript(file string, raw []byte, plan blueprint.Plan, length time.Duration) (*Script, error) {
	var s Script
	if err := yaml.UnmarshalStrict(raw, &s); err != nil {
		return nil, errs.New("read script", file, "%v", err)
	}
	if len(s.Steps) == 0 {
		return nil, errs.New("read script", file, "the script has no steps")
	}
	replacements := replacementCheck{replacedAt: map[string]Duration{}}
	for i, step := range s.Steps {
		problem := step.problem(plan, length)
		if problem == "" {
			problem = replacements.problem(step)
		}
		if problem != "" {
			return nil, errs.New("read script", file, "step %d: %s", i+1, problem)
		}
	}
	sort.SliceStable(s.Steps, func(i, j int) bool { return s.Steps[i].At < s.Steps[j].At })
	return &s, nil
}

// replacementCheck finds replacements of core machines that follow each other too soon,
// and steps that affect a machine after its replacement.
type replacementCheck struct {
	// last is the most recent replacement among the steps so far; nil if there was none.
	last *Step
	// replacedAt is keyed by the names of the machine and its daemons.
	replacedAt map[string]Duration
}

// problem describes what is invalid about the next step; empty if it is valid.
func (c *replacementCheck) problem(step Step) string {
	for _, name := range strings.Split(step.Subject, "+") {
		if at, ok := c.replacedAt[name]; ok && step.At >= at {
			return name + " has already been replaced"
		}
	}
	if step.Action != actionReplaceCore {
		return ""
	}
	if c.last != nil && step.At-c.last.At < minReplacementGap {
		return c.last.Subject + " is still being replaced"
	}
	c.last = &step
	number := strings.TrimPrefix(step.Subject, "core-")
	for _, name := range []string{step.Subject, "store-" + number, "registry-" + number} {
		c.replacedAt[name] = step.At
	}
	return ""
}

// problem describes what is invalid about a step, regardless of other steps; empty if it
// is valid.
func (s Step) problem(plan blueprint.Plan, length time.Duration) string {
	action, ok := actions[s.Action]
	if !ok {
		return fmt.Sprintf("unknown action %q", s.Action)
	}
	if problem := s.subjectProblem(plan, action.subjects); problem != "" {
		return problem
	}
	switch {
	case s.Action == actionBurst && (s.Count < 1 || s.Count > maxBurst):
		return fmt.Sprintf("count must be from 1 to %d", maxBurst)
	case s.Action != actionBurst && s.Count != 0:
		return s.Action + " takes no count"
	case action.lasts && s.For <= 0:
		return "for is missing"
	case !action.lasts && s.For != 0:
		return s.Action + " has no duration, so for must not be set"
	case time.Duration(s.At+s.For) > length:
		return fmt.Sprintf("ends at %s, after the end of the load at %s", s.At+s.For, length)
	}
	return ""
}

// subjectProblem describes what is invalid about a step's subject, which must be of one of
// the given kinds; empty if it is valid.
func (s Step) subjectProblem(plan blueprint.Plan, kinds []string) string {
	subjects := subjectsByKind(plan)
	isKnown := func(name string) bool {
		return slices.ContainsFunc(kinds, func(kind string) bool { return slices.Contains(subjects[kind], name) })
	}
	names := []string{s.Subject}
	if s.Action == actionSplit {
		names = strings.Split(s.Subject, "+")
	}
	for _, name := range names {
		switch {
		case name == "":
			return "who is missing"
		case !isKnown(name):
			return fmt.Sprintf("%s needs a %s, and there is none named %q", s.Action, strings.Join(kinds, " or "), name)
		}
	}
	if s.Action == actionSplit && coversEveryZone(plan, names) {
		return "the other side of the split is empty"
	}
	return ""
}
