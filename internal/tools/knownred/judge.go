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

// event is a line of `go test -json`, as `go doc test2json` tells it.
type event struct{ Action, Package, Test, Output string }

// suite is what came of the tests of one package.
type suite struct {
	result string
	// tests holds each test's result, empty while it runs.
	tests map[string]string
	lines []event
	// closed: the test binary came to its end by itself. One that panicked, ran
	// out of time or exited leaves the tests after it unrun, and says no such line.
	closed bool
}

// Judge follows a test run.
type Judge struct {
	out    io.Writer
	suites map[string]*suite
}

// New makes a judge that prints what go test would print.
func New(out io.Writer) *Judge { return &Judge{out: out, suites: map[string]*suite{}} }

// Follow reads a whole run.
func (j *Judge) Follow(run io.Reader) error {
	lines := bufio.NewReader(run)
	for {
		line, err := lines.ReadString('\n')
		if line != "" {
			j.take(line)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (j *Judge) take(line string) {
	var e event
	if json.Unmarshal([]byte(line), &e) != nil {
		fmt.Fprint(j.out, line)
		return
	}
	if e.Package == "" {
		fmt.Fprint(j.out, e.Output) // of a build
		return
	}
	s := j.suites[e.Package]
	if s == nil {
		s = &suite{tests: map[string]string{}}
		j.suites[e.Package] = s
	}
	switch e.Action {
	case "output":
		s.closed = s.closed || e.Test == "" && e.Output == "FAIL\n"
		s.lines = append(s.lines, e)
	case "run":
		// With a -count over 1 a test that failed once stays red.
		if s.tests[e.Test] != "fail" {
			s.tests[e.Test] = ""
		}
	case "pass", "fail", "skip":
		if e.Test == "" {
			s.result = e.Action
			s.show(j.out)
		} else if s.tests[e.Test] != "fail" {
			s.tests[e.Test] = e.Action
		}
	}
}

// show prints a package's closing line, and for a red one all that it said.
func (s *suite) show(out io.Writer) {
	for _, e := range s.lines {
		quiet := s.result != "fail" && (e.Test != "" || e.Output == "PASS\n")
		if !quiet && !strings.HasPrefix(e.Output, "=== ") {
			fmt.Fprint(out, e.Output)
		}
	}
	s.lines = nil
}

// broken tells why a package's results can't be gone by; empty if they can.
func (s *suite) broken() string {
	var left []string
	red := false
	for name, result := range s.tests {
		red = red || result == "fail"
		if result == "" {
			left = append(left, name)
		}
	}
	slices.Sort(left)
	switch {
	case s.result == "":
		return "came to no end"
	case len(left) > 0:
		return "ended in the midst of " + strings.Join(left, ", ")
	case s.result == "fail" && !s.closed:
		return "didn't build, panicked, ran out of time or exited"
	case s.result == "fail" && !red:
		return "failed without a red test"
	}
	return ""
}

// Verdict is what came of a run: the reds let pass, and all that speaks against it.
type Verdict struct{ Passed, Against []string }

// Verdict judges the run by the list and by the exit code of go test. A name
// stands for itself alone: a red subtest and the parent that it makes red are
// two lines, as go test doesn't tell whether a parent failed by itself as well.
func (j *Judge) Verdict(list []Known, exit int) Verdict {
	var v Verdict
	results, failed := map[string]string{}, 0
	for _, name := range slices.Sorted(maps.Keys(j.suites)) {
		s := j.suites[name]
		if s.result == "fail" {
			failed++
		}
		if why := s.broken(); why != "" {
			v.Against = append(v.Against, fmt.Sprintf("%s %s", name, why))
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
			v.Against = append(v.Against, k.Test+" is listed as red, but didn't run")
		case result == "fail":
			v.Passed = append(v.Passed, fmt.Sprintf("%s | %s | %s", k.Test, k.Cause, k.Issue))
		case result != "":
			v.Against = append(v.Against, fmt.Sprintf("%s is listed as red, but ended with %q", k.Test, result))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(results)) {
		if results[name] == "fail" && !known[name] {
			v.Against = append(v.Against, name+" is red and not listed")
		}
	}
	// Whatever the events left out, as a package that can't be found.
	switch {
	case len(j.suites) == 0:
		v.Against = append(v.Against, "no package was tested")
	case exit != 0 && (exit != 1 || failed == 0), exit == 0 && failed > 0:
		v.Against = append(v.Against, fmt.Sprintf("go test ended with %d and %d failed packages", exit, failed))
	}
	return v
}
