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

// Params are the options of a run.
type Params struct {
	Values map[string]string
	Dry    bool
	Out    io.Writer
	// Command runs a dunlinwell command and gives its answer in JSON.
	Command func(words []string) ([]byte, error)
	// Hands lets the operator do what a step says; false stops the book.
	Hands func(what string) bool
	// Pause waits a little between two looks.
	Pause func()
	Now   func() time.Time
}

// Run runs a book and stops at the first problem.
func (b *Book) Run(p Params) error {
	for _, n := range b.Needs {
		if p.Values[n] == "" {
			return errs.New("run "+b.Name, "", "it needs --set %s=...", n)
		}
	}
	for n := range p.Values {
		if !slices.Contains(b.Needs, n) {
			return errs.New("run "+b.Name, "", "it has no use for %q", n)
		}
	}
	fmt.Fprintf(p.Out, "%s: %s\n", b.Name, p.fill(b.About, ""))
	for i, s := range b.Steps {
		items := []string{""}
		if s.Each != "" && !p.Dry {
			raw, err := p.Command([]string{"status"})
			if err != nil {
				return errs.Wrap(err, fmt.Sprintf("%s step %d", b.Name, i+1), "")
			}
			items = nil
			for _, v := range gjson.GetBytes(raw, p.fill(s.Each, "")).Array() {
				items = append(items, v.String())
			}
		}
		for _, item := range items {
			if err := p.step(i+1, &s, item); err != nil {
				return errs.Wrap(err, fmt.Sprintf("%s step %d (%s)", b.Name, i+1, p.fill(s.Name, item)), "")
			}
		}
	}
	fmt.Fprintf(p.Out, "%s: done\n", b.Name)
	return nil
}

// fill puts values into holes.
func (p Params) fill(s, item string) string {
	for k, v := range p.Values {
		s = strings.ReplaceAll(s, "{"+k+"}", v)
	}
	if item != "" {
		s = strings.ReplaceAll(s, "{item}", item)
	}
	return s
}

func (p Params) words(list []string, item string) []string {
	out := make([]string, len(list))
	for i, w := range list {
		out[i] = p.fill(w, item)
	}
	return out
}

func (p Params) step(n int, s *Step, item string) error {
	fmt.Fprintf(p.Out, "%d. %s\n", n, p.fill(s.Name, item))
	if p.Dry {
		p.tell(s, item)
		return nil
	}
	look := s.Look
	if len(look) == 0 {
		look = s.Run
	}
	before := ""
	for _, c := range s.Until {
		if c.Changed {
			raw, err := p.Command(p.words(look, item))
			if err != nil {
				return err
			}
			before = string(raw)
		}
	}
	if s.Say != "" && !p.Hands(p.fill(s.Say, item)) {
		return errs.New("hands", "", "stopped by the operator")
	}
	var raw []byte
	var err error
	if len(s.Run) > 0 {
		// A command that changes something is sent once; only looks repeat.
		if raw, err = p.Command(p.words(s.Run, item)); err != nil {
			return err
		}
	}
	return p.await(s, item, look, raw, before)
}

// await looks until every check holds, or the time is over.
func (p Params) await(s *Step, item string, look []string, raw []byte, before string) error {
	if len(s.Until) == 0 {
		return nil
	}
	var err error
	for until := p.Now().Add(s.within); ; p.Pause() {
		if len(s.Look) > 0 || len(s.Run) == 0 {
			raw, err = p.Command(p.words(look, item))
		}
		fault := err
		for _, c := range s.Until {
			if fault == nil {
				fault = p.holds(c, item, string(raw), before)
			}
		}
		if fault == nil {
			fmt.Fprintf(p.Out, "   holds\n")
			return nil
		}
		if len(s.Look) == 0 && len(s.Run) > 0 || !p.Now().Before(until) {
			return fault
		}
	}
}

func (p Params) holds(c Check, item, raw, before string) error {
	path := p.fill(c.Path, item)
	v := gjson.Get(raw, path)
	bad := func(want string) error {
		return errs.New("check", "", "%s is %q, but should be %s", path, v.String(), want)
	}
	switch {
	case c.Is != nil && v.String() != p.fill(*c.Is, item):
		return bad(p.fill(*c.Is, item))
	case c.Not != nil && v.String() == p.fill(*c.Not, item):
		return bad("something other than " + p.fill(*c.Not, item))
	case c.None && v.Exists() && v.Type != gjson.Null && len(v.Array()) > 0:
		return bad("empty")
	case c.Changed && (!v.Exists() || v.String() == gjson.Get(before, path).String()):
		return bad("another than before")
	case c.Under != nil && (v.Type != gjson.Number || v.Num >= *c.Under):
		return bad(fmt.Sprintf("under %g", *c.Under))
	}
	return nil
}

// tell says what a step would do.
func (p Params) tell(s *Step, item string) {
	if s.Each != "" {
		fmt.Fprintf(p.Out, "   for each of %s\n", p.fill(s.Each, item))
	}
	if s.Say != "" {
		fmt.Fprintf(p.Out, "   by hand: %s\n", p.fill(s.Say, item))
	}
	if len(s.Run) > 0 {
		fmt.Fprintf(p.Out, "   dunlinwell %s\n", strings.Join(p.words(s.Run, item), " "))
	}
	for _, c := range s.Until {
		fmt.Fprintf(p.Out, "   check %s, within %s\n", p.fill(c.Path, item), s.within)
	}
}
