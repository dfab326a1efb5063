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

// minReplacementGap is the least time between two replacements of core machines:
// the first needs its copy of the registers before another may be lost.
const minReplacementGap = Duration(20 * time.Second)

// maxBurst is the most changes that a step may send.
const maxBurst = 5000

// Script is faults at set times. Its JSON and YAML form is that of docs/testbed.md.
type Script struct {
	// Steps are sorted by At once the script was read.
	Steps []Step `json:"steps"`
}

// Step is one fault.
type Step struct {
	// At is from the beginning of the load.
	At Duration `json:"at"`
	// Action is one of the names in actions.
	Action string `json:"do"`
	// Subject is what the action is done to. Those of a split are joined by "+".
	Subject string `json:"who"`
	// For is how long the fault lasts; 0 for actions that don't last.
	For Duration `json:"for"`
	// Count is how many changes a storm has; 0 for other actions.
	Count int `json:"count"`
}

// Duration is a duration that is written like 1m30s.
type Duration time.Duration

// UnmarshalJSON reads a duration that isn't negative.
func (d *Duration) UnmarshalJSON(raw []byte) error {
	parsed, err := time.ParseDuration(strings.Trim(string(raw), `"`))
	if err != nil || parsed < 0 {
		return fmt.Errorf("%s is no span of time", raw)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalJSON writes the duration as UnmarshalJSON reads it.
func (d Duration) MarshalJSON() ([]byte, error) { return []byte(`"` + d.String() + `"`), nil }

// String formats the duration as time.Duration does.
func (d Duration) String() string { return time.Duration(d).String() }

// ReadScript reads a script in YAML, and checks every step against the plan and
// the length of the load. Errors name the file and the step.
func ReadScript(file string, raw []byte, plan blueprint.Plan, length time.Duration) (*Script, error) {
	var s Script
	if err := yaml.UnmarshalStrict(raw, &s); err != nil {
		return nil, errs.New("read script", file, "%v", err)
	}
	if len(s.Steps) == 0 {
		return nil, errs.New("read script", file, "it has no steps")
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

// replacementCheck finds steps that come too soon after the replacement of a
// core machine, or concern one that was replaced.
type replacementCheck struct {
	// last is the last replacement among the steps so far; nil if there was none.
	last *Step
	// replacedAt is by the names of a machine and its daemons.
	replacedAt map[string]Duration
}

// problem says what is wrong with the next step; empty if nothing is.
func (c *replacementCheck) problem(step Step) string {
	for _, name := range strings.Split(step.Subject, "+") {
		if at, ok := c.replacedAt[name]; ok && step.At >= at {
			return name + " was replaced before"
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

// problem says what is wrong with a step by itself; empty if nothing is.
func (s Step) problem(plan blueprint.Plan, length time.Duration) string {
	action, ok := actions[s.Action]
	if !ok {
		return fmt.Sprintf("there is no deed %q", s.Action)
	}
	if problem := s.subjectProblem(plan, action.subjects); problem != "" {
		return problem
	}
	switch {
	case s.Action == actionBurst && (s.Count < 1 || s.Count > maxBurst):
		return fmt.Sprintf("count must be from 1 to %d", maxBurst)
	case s.Action != actionBurst && s.Count != 0:
		return s.Action + " has no count"
	case action.lasts && s.For <= 0:
		return "for is missing"
	case !action.lasts && s.For != 0:
		return s.Action + " doesn't last, so for has no meaning"
	case time.Duration(s.At+s.For) > length:
		return fmt.Sprintf("it ends at %s, after the testbed's %s", s.At+s.For, length)
	}
	return ""
}

// subjectProblem says what is wrong with a step's subject, of the given kinds.
func (s Step) subjectProblem(plan blueprint.Plan, kinds []string) string {
	known := subjectsByKind(plan)
	isKnown := func(name string) bool {
		return slices.ContainsFunc(kinds, func(kind string) bool { return slices.Contains(known[kind], name) })
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
			return fmt.Sprintf("%s is done to a %s, and there is none named %q", s.Action, strings.Join(kinds, " or "), name)
		}
	}
	if s.Action == actionSplit && coversEveryZone(plan, names) {
		return "the other side of the split is empty"
	}
	return ""
}
