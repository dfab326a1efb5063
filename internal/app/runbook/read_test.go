package runbook

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Every bundled runbook can be read, and its dry run executes nothing.
func TestBundledBooks_ReadAndDryRun(t *testing.T) {
	is.New(t).True(len(BundledNames()) >= 6)
	for _, name := range BundledNames() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			raw, err := ReadBundled(name)
			is.NoErr(err)
			b, err := Read(name, raw)
			is.NoErr(err)
			is.Equal(b.Name, name)
			values := map[string]string{}
			for _, parameter := range b.Parameters {
				values[parameter] = "x"
			}
			var out bytes.Buffer
			is.NoErr(b.Run(Options{Values: values, DryRun: true, Out: &out, Execute: func([]string) ([]byte, error) {
				t.Fatal("a dry run executed a command")
				return nil, nil
			}}))
			is.True(strings.Contains(out.String(), "done"))
			is.True(len(b.Parameters) == 0 || b.Run(Options{Out: &out}) != nil) // a missing value is an error
		})
	}
}

// Invalid runbooks are rejected with an error that names the file, the step and the reason.
func TestRead_RejectsInvalidRunbooks(t *testing.T) {
	const head = "name: x\nneeds: [cell]\nsteps:\n"
	for name, c := range map[string]struct{ text, want string }{
		"no steps":            {"name: x", "no steps"},
		"unknown command":     {head + "  - {name: a, run: [reboot], until: [{path: p, is: q}]}", "step 1 (a): unknown command \"reboot\""},
		"no check":            {head + "  - {name: a, run: [status]}", "step 1 (a): missing checks"},
		"nothing to do":       {head + "  - {name: a}", "step 1 (a): needs at least one of say"},
		"no comparison":       {head + "  - {name: a, run: [status], until: [{path: p}]}", "step 1 (a): a check needs"},
		"two comparisons":     {head + "  - {name: a, run: [status], until: [{path: p, is: q, none: true}]}", "step 1 (a): a check needs"},
		"unknown placeholder": {head + "  - {name: a, run: [cell, get, '{zell}'], until: [{path: p, is: q}]}", "step 1 (a): placeholder {zell} is not a parameter"},
		"invalid timeout":     {head + "  - {name: a, run: [status], within: soon, until: [{path: p, is: q}]}", "step 1 (a): within"},
		"unknown field":       {head + "  - {name: a, walk: 1}", "unknown field"},
		"second step":         {head + "  - {name: a, say: hello}\n  - {name: b, run: [x]}", "step 2 (b)"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Read("f.yaml", []byte(c.text))
			if err == nil || !strings.Contains(err.Error(), c.want) || !strings.Contains(err.Error(), "f.yaml") {
				t.Errorf("%s: got %v, want %q", c.text, err, c.want)
			}
		})
	}
}
