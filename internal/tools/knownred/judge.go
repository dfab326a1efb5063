package knownred

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// testEvent is a line of `go test -json`, as `go doc test2json` tells it.
type testEvent struct {
	Action  string `json:"Action"`
	Package string `json:"Package"`
	Test    string `json:"Test"`
	Output  string `json:"Output"`
}

// packageRun is what came of the tests of one package.
type packageRun struct {
	result string
	// tests holds each test's result, empty while it runs.
	tests   map[string]string
	outputs []testEvent
	// closed: the test binary came to its end by itself. One that panicked, ran
	// out of time or exited leaves the tests after it unrun, and says no such line.
	finished bool
}

// Judge follows a test run.
type Judge struct {
	out      io.Writer
	packages map[string]*packageRun
}

// New makes a judge that prints what go test would print.
func New(out io.Writer) *Judge { return &Judge{out: out, packages: map[string]*packageRun{}} }

// Follow reads a whole run.
func (j *Judge) Follow(run io.Reader) error {
	lines := bufio.NewReader(run)
	for {
		line, err := lines.ReadString('\n')
		if line != "" {
			j.handleLine(line)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (j *Judge) handleLine(line string) {
	var e testEvent
	if json.Unmarshal([]byte(line), &e) != nil {
		fmt.Fprint(j.out, line)
		return
	}
	if e.Package == "" {
		fmt.Fprint(j.out, e.Output) // of a build
		return
	}
	s := j.packages[e.Package]
	if s == nil {
		s = &packageRun{tests: map[string]string{}}
		j.packages[e.Package] = s
	}
	switch e.Action {
	case "output":
		s.finished = s.finished || e.Test == "" && e.Output == "FAIL\n"
		s.outputs = append(s.outputs, e)
	case "run":
		// With a -count over 1 a test that failed once stays red.
		if s.tests[e.Test] != "fail" {
			s.tests[e.Test] = ""
		}
	case "pass", "fail", "skip":
		if e.Test == "" {
			s.result = e.Action
			s.print(j.out)
		} else if s.tests[e.Test] != "fail" {
			s.tests[e.Test] = e.Action
		}
	}
}

// print prints a package's closing line, and for a red one all that it said.
func (p *packageRun) print(out io.Writer) {
	for _, e := range p.outputs {
		quiet := p.result != "fail" && (e.Test != "" || e.Output == "PASS\n")
		if !quiet && !strings.HasPrefix(e.Output, "=== ") {
			fmt.Fprint(out, e.Output)
		}
	}
	p.outputs = nil
}

// incompleteReason tells why a package's results can't be gone by; empty if they can.
func (p *packageRun) incompleteReason() string {
	var left []string
	red := false
	for name, result := range p.tests {
		red = red || result == "fail"
		if result == "" {
			left = append(left, name)
		}
	}
	slices.Sort(left)
	switch {
	case p.result == "":
		return "came to no end"
	case len(left) > 0:
		return "ended in the midst of " + strings.Join(left, ", ")
	case p.result == "fail" && !p.finished:
		return "didn't build, panicked, ran out of time or exited"
	case p.result == "fail" && !red:
		return "failed without a red test"
	}
	return ""
}

// Verdict is what came of a run: the reds let pass, and all that speaks against it.
type Verdict struct{ KnownFailures, Objections []string }

// Verdict judges the run by the list and by the exit code of go test. A name
// stands for itself alone: a red subtest and the parent that it makes red are
// two lines, as go test doesn't tell whether a parent failed by itself as well.
func (j *Judge) Verdict(list []Entry, exit int) Verdict {
	var v Verdict
	results, failed := map[string]string{}, 0
	for _, name := range slices.Sorted(maps.Keys(j.packages)) {
		s := j.packages[name]
		if s.result == "fail" {
			failed++
		}
		if why := s.incompleteReason(); why != "" {
			v.Objections = append(v.Objections, fmt.Sprintf("%s %s", name, why))
		}
		for test, result := range s.tests {
			results[name+"."+test] = result
		}
	}
	known := map[string]bool{}
	for _, k := range list {
		known[k.Test] = true
		switch result, ran := results[k.Test]; {
		case !ran:
			v.Objections = append(v.Objections, k.Test+" is listed as red, but didn't run")
		case result == "fail":
			v.KnownFailures = append(v.KnownFailures, fmt.Sprintf("%s | %s | %s", k.Test, k.Cause, k.Issue))
		case result != "":
			v.Objections = append(v.Objections, fmt.Sprintf("%s is listed as red, but ended with %q", k.Test, result))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(results)) {
		if results[name] == "fail" && !known[name] {
			v.Objections = append(v.Objections, name+" is red and not listed")
		}
	}
	// Whatever the events left out, as a package that can't be found.
	switch {
	case len(j.packages) == 0:
		v.Objections = append(v.Objections, "no package was tested")
	case exit != 0 && (exit != 1 || failed == 0), exit == 0 && failed > 0:
		v.Objections = append(v.Objections, fmt.Sprintf("go test ended with %d and %d failed packages", exit, failed))
	}
	return v
}
