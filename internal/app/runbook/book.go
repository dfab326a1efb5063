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
var shipped embed.FS

// Book is a runbook.
type Book struct {
	Name  string   `json:"name"`
	About string   `json:"about"`
	Needs []string `json:"needs"`
	Steps []Step   `json:"steps"`
}

// Step does one thing: it says something to the operator, or runs a command;
// and it checks a result, for as long as it may take.
type Step struct {
	Name string `json:"name"`
	// Say is for the operator's hands; the book goes on when they say so.
	Say string `json:"say"`
	// Run is a command of dunlinwell, word by word.
	Run []string `json:"run"`
	// Each repeats the step for each value that a path finds in the status.
	Each string `json:"each"`
	// Until are checks on the answer of Run, or of Look if that is given.
	Look   []string `json:"look"`
	Until  []Check  `json:"until"`
	Within string   `json:"within"`
	within time.Duration
}

// Check compares what a path finds in an answer.
type Check struct {
	Path string `json:"path"`
	// Is and Not compare the text found; None wants nothing or an empty list;
	// Changed wants another text than before the step; Under a smaller number.
	Is      *string  `json:"is"`
	Not     *string  `json:"not"`
	None    bool     `json:"none"`
	Changed bool     `json:"changed"`
	Under   *float64 `json:"under"`
}

// Shipped lists the runbooks that come with dunlinwell.
func Shipped() []string {
	var out []string
	list, _ := shipped.ReadDir("books")
	for _, f := range list {
		out = append(out, strings.TrimSuffix(f.Name(), ".yaml"))
	}
	return out
}

// Find gives a shipped runbook's text.
func Find(name string) ([]byte, error) {
	raw, err := shipped.ReadFile("books/" + name + ".yaml")
	if err != nil {
		return nil, errs.New("find runbook", "", "there is no runbook %q; there are %s", name, strings.Join(Shipped(), ", "))
	}
	return raw, nil
}

// Verbs are the commands that steps may run.
var Verbs = []string{"service", "route", "cell", "change", "policy", "where", "status", "core"}

var hole = regexp.MustCompile(`\{[a-z_]+\}`)

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
		if err := b.check(&b.Steps[i]); err != nil {
			return nil, errs.New("read runbook", file, "step %d (%s): %v", i+1, b.Steps[i].Name, err)
		}
	}
	return &b, nil
}

func (b *Book) check(s *Step) error {
	switch {
	case s.Name == "":
		return fmt.Errorf("it has no name")
	case len(s.Run) == 0 && s.Say == "" && len(s.Look) == 0:
		return fmt.Errorf("it neither says, runs nor looks at anything")
	case len(s.Until) == 0 && s.Say == "":
		return fmt.Errorf("it has no check of its result")
	}
	for _, words := range [][]string{s.Run, s.Look} {
		if len(words) > 0 && !slices.Contains(Verbs, words[0]) {
			return fmt.Errorf("there is no command %q", words[0])
		}
	}
	s.within = 10 * time.Second
	if s.Within != "" {
		d, err := time.ParseDuration(s.Within)
		if err != nil || d <= 0 {
			return fmt.Errorf("within: %q is no span of time", s.Within)
		}
		s.within = d
	}
	for _, c := range s.Until {
		if err := c.valid(); err != nil {
			return err
		}
	}
	known := append([]string{}, b.Needs...)
	if s.Each != "" {
		known = append(known, "item")
	}
	for _, h := range hole.FindAllString(s.text(), -1) {
		if !slices.Contains(known, h[1:len(h)-1]) {
			return fmt.Errorf("%s is not among what the runbook needs", h)
		}
	}
	return nil
}

func (c Check) valid() error {
	n := 0
	for _, on := range []bool{c.Is != nil, c.Not != nil, c.None, c.Changed, c.Under != nil} {
		if on {
			n++
		}
	}
	if c.Path == "" || n != 1 {
		return fmt.Errorf("a check needs a path and one of is, not, none, changed, under")
	}
	return nil
}

// text is every word of the step that may have holes.
func (s *Step) text() string {
	all := []string{s.Name, s.Say}
	all = append(append(all, s.Run...), s.Look...)
	for _, c := range s.Until {
		all = append(all, c.Path)
		for _, v := range []*string{c.Is, c.Not} {
			if v != nil {
				all = append(all, *v)
			}
		}
	}
	return strings.Join(all, " ")
}
