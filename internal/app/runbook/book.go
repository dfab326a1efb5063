// Package runbook reads and runs executable runbooks: each step a command of
// dunlinwell with a check of its result, stopped at the first problem.
package runbook

import (
	"embed"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"

	"sigs.k8s.io/yaml"

	"dunlinwell/internal/base/errs"
)

//go:embed books/*.yaml
var bundledFiles embed.FS

// Book is a runbook.
type Book struct {
	Name        string   `json:"name"`
	Description string   `json:"about"`
	Parameters  []string `json:"needs"`
	Steps       []Step   `json:"steps"`
}

// Step does one thing: it says something to the operator, or runs a command;
// and it checks a result, for as long as it may take.
type Step struct {
	Name string `json:"name"`
	// Instruction is for the operator's hands; the book goes on when they say so.
	Instruction string `json:"say"`
	// Command is a command of dunlinwell, word by word.
	Command []string `json:"run"`
	// ForEach repeats the step for each value that a path finds in the status.
	ForEach string `json:"each"`
	// Until are checks on the answer of Run, or of Look if that is given.
	Observe []string `json:"look"`
	Checks  []Check  `json:"until"`
	Timeout string   `json:"within"`
	timeout time.Duration
}

// Check compares what a path finds in an answer.
type Check struct {
	Path string `json:"path"`
	// Equals and Not compare the text found; None wants nothing or an empty list;
	// Changed wants another text than before the step; Under a smaller number.
	Equals    *string  `json:"is"`
	NotEquals *string  `json:"not"`
	Empty     bool     `json:"none"`
	Changed   bool     `json:"changed"`
	LessThan  *float64 `json:"under"`
}

// BundledNames lists the runbooks that come with dunlinwell.
func BundledNames() []string {
	var out []string
	list, _ := bundledFiles.ReadDir("books")
	for _, f := range list {
		out = append(out, strings.TrimSuffix(f.Name(), ".yaml"))
	}
	return out
}

// ReadBundled gives a shipped runbook's text.
func ReadBundled(name string) ([]byte, error) {
	raw, err := bundledFiles.ReadFile("books/" + name + ".yaml")
	if err != nil {
		return nil, errs.New("find runbook", "", "there is no runbook %q; there are %s", name, strings.Join(BundledNames(), ", "))
	}
	return raw, nil
}

// AllowedCommands are the commands that steps may run.
var AllowedCommands = []string{"service", "route", "cell", "change", "policy", "where", "status", "core"}

var placeholderPattern = regexp.MustCompile(`\{[a-z_]+\}`)

// Read reads a runbook and checks all of it before anything runs: unknown
// fields, unknown commands, values that nobody gives.
func Read(file string, raw []byte) (*Book, error) {
	var b Book
	if err := yaml.UnmarshalStrict(raw, &b); err != nil {
		return nil, errs.New("read runbook", file, "%v", err)
	}
	if b.Name == "" || len(b.Steps) == 0 {
		return nil, errs.New("read runbook", file, "it has no name or no steps")
	}
	for i := range b.Steps {
		if err := b.validateStep(&b.Steps[i]); err != nil {
			return nil, errs.New("read runbook", file, "step %d (%s): %v", i+1, b.Steps[i].Name, err)
		}
	}
	return &b, nil
}

func (b *Book) validateStep(s *Step) error {
	switch {
	case s.Name == "":
		return fmt.Errorf("it has no name")
	case len(s.Command) == 0 && s.Instruction == "" && len(s.Observe) == 0:
		return fmt.Errorf("it neither says, runs nor looks at anything")
	case len(s.Checks) == 0 && s.Instruction == "":
		return fmt.Errorf("it has no check of its result")
	}
	for _, words := range [][]string{s.Command, s.Observe} {
		if len(words) > 0 && !slices.Contains(AllowedCommands, words[0]) {
			return fmt.Errorf("there is no command %q", words[0])
		}
	}
	s.timeout = 10 * time.Second
	if s.Timeout != "" {
		d, err := time.ParseDuration(s.Timeout)
		if err != nil || d <= 0 {
			return fmt.Errorf("within: %q is no span of time", s.Timeout)
		}
		s.timeout = d
	}
	for _, c := range s.Checks {
		if err := c.validate(); err != nil {
			return err
		}
	}
	known := append([]string{}, b.Parameters...)
	if s.ForEach != "" {
		known = append(known, "item")
	}
	for _, h := range placeholderPattern.FindAllString(s.templates(), -1) {
		if !slices.Contains(known, h[1:len(h)-1]) {
			return fmt.Errorf("%s is not among what the runbook needs", h)
		}
	}
	return nil
}

func (c Check) validate() error {
	n := 0
	for _, on := range []bool{c.Equals != nil, c.NotEquals != nil, c.Empty, c.Changed, c.LessThan != nil} {
		if on {
			n++
		}
	}
	if c.Path == "" || n != 1 {
		return fmt.Errorf("a check needs a path and one of is, not, none, changed, under")
	}
	return nil
}

// templates is every word of the step that may have holes.
func (s *Step) templates() string {
	all := []string{s.Name, s.Instruction}
	all = append(append(all, s.Command...), s.Observe...)
	for _, c := range s.Checks {
		all = append(all, c.Path)
		for _, v := range []*string{c.Equals, c.NotEquals} {
			if v != nil {
				all = append(all, *v)
			}
		}
	}
	return strings.Join(all, " ")
}
