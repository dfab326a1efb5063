package runbook

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Every shipped runbook reads, and its dry run touches nothing.
func TestBundledBooks_ReadAndDryRun(t *testing.T) {
	is := is.New(t)
	is.True(len(BundledNames()) >= 6)
	for _, n := range BundledNames() {
		raw, err := ReadBundled(n)
		is.NoErr(err)
		b, err := Read(n, raw)
		is.NoErr(err)
		is.Equal(b.Name, n)
		values := map[string]string{}
		for _, v := range b.Parameters {
			values[v] = "x"
		}
		var out bytes.Buffer
		is.NoErr(b.Run(Options{Values: values, DryRun: true, Out: &out, Execute: func([]string) ([]byte, error) {
			t.Fatal("a dry run ran a command")
			return nil, nil
		}}))
		is.True(strings.Contains(out.String(), "done"))
		is.True(len(b.Parameters) == 0 || b.Run(Options{Out: &out}) != nil) // a missing value stops it
	}
}

// Broken runbooks are rejected whole, with the file, the step and why.
func TestRead_RejectsBrokenBooks(t *testing.T) {
	head := "name: x\nneeds: [cell]\nsteps:\n"
	for raw, want := range map[string]string{
		"name: x": "no steps",
		head + "  - {name: a, run: [reboot], until: [{path: p, is: q}]}":               "step 1 (a): there is no command \"reboot\"",
		head + "  - {name: a, run: [status]}":                                          "step 1 (a): it has no check",
		head + "  - {name: a}":                                                         "step 1 (a): it neither says",
		head + "  - {name: a, run: [status], until: [{path: p}]}":                      "step 1 (a): a check needs",
		head + "  - {name: a, run: [status], until: [{path: p, is: q, none: true}]}":   "step 1 (a): a check needs",
		head + "  - {name: a, run: [cell, get, '{zell}'], until: [{path: p, is: q}]}":  "step 1 (a): {zell} is not among",
		head + "  - {name: a, run: [status], within: soon, until: [{path: p, is: q}]}": "step 1 (a): within",
		head + "  - {name: a, walk: 1}":                                                "unknown field",
		head + "  - {name: a, say: hello}\n  - {name: b, run: [x]}":                    "step 2 (b)",
	} {
		_, err := Read("f.yaml", []byte(raw))
		if err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), "f.yaml") {
			t.Errorf("%s gave %v, not %q", raw, err, want)
		}
	}
}

const demoBook = `name: demo
needs: [cell]
steps:
  - name: empty it
    run: [cell, empty, "{cell}"]
    until: [{path: items.0.name, is: "{cell}"}]
  - name: wait
    look: [status]
    until: [{path: in_force, is: "true"}, {path: lag, under: 3}, {path: problems, none: true}]
    within: 5s
  - name: restart {item}
    each: daemons.#.id
    say: restart {item}
    look: [status]
    until: [{path: 'daemons.#(id=="{item}").start', changed: true}]
`

// runDemo runs the demo against answers that change with each look.
func runDemo(t *testing.T, answer func(n int, words []string) string) (string, error) {
	t.Helper()
	b, err := Read("demo", []byte(demoBook))
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	n, now := 0, time.Unix(0, 0)
	err = b.Run(Options{
		Values: map[string]string{"cell": "north"}, Out: &out, Now: func() time.Time { return now }, Pause: func() { now = now.Add(time.Second) },
		Confirm: func(what string) bool { fmt.Fprintln(&out, "hands:", what); return true },
		Execute: func(words []string) ([]byte, error) {
			n++
			return []byte(answer(n, words)), nil
		},
	})
	return out.String(), err
}

func statusAnswer(n, start int) string {
	return fmt.Sprintf(`{"in_force":%t,"lag":%d,"problems":[],"daemons":[{"id":"a","start":"%d"}]}`, n > 3, 5-n, start)
}

func TestRun_StepsWaitForTheirChecks(t *testing.T) {
	is := is.New(t)
	emptied := 0
	out, err := runDemo(t, func(n int, words []string) string {
		if words[0] == "cell" {
			emptied++
			return `{"items":[{"name":"north"}]}`
		}
		return statusAnswer(n, n)
	})
	is.NoErr(err)
	is.Equal(emptied, 1) // a change is sent once; only looks repeat
	is.True(strings.Contains(out, "hands: restart a"))
}

func TestRun_StopsAtTheFirstFailure(t *testing.T) {
	is := is.New(t)
	out, err := runDemo(t, func(_ int, words []string) string {
		if words[0] == "cell" {
			return `{"items":[{"name":"north"}]}`
		}
		return statusAnswer(1, 1)
	})
	is.True(err != nil && strings.Contains(err.Error(), `demo step 2 (wait)`))
	is.True(strings.Contains(err.Error(), `in_force is "false", but should be true`))
	is.True(!strings.Contains(out, "hands"))
}
