package knownred

import (
	"fmt"
	"io"
	"slices"
	"strings"
)

// packageRun is the state of the tests of one package.
type packageRun struct {
	// result is the package's result; empty until the package ends.
	result string
	// tests holds the result of each test by name; empty while the test runs.
	tests   map[string]string
	outputs []testEvent
	// finished reports whether the test binary printed its final FAIL line. A binary that
	// panicked, timed out or called os.Exit prints none, and may not have run all tests.
	finished bool
}

// handleEvent handles an event of the package, and prints the package's output when it ends.
func (p *packageRun) handleEvent(e testEvent, out io.Writer) {
	switch e.Action {
	case actionOutput:
		p.finished = p.finished || e.Test == "" && e.Output == "FAIL\n"
		p.outputs = append(p.outputs, e)
	case actionRun:
		p.setResult(e.Test, "")
	case actionPass, actionFail, actionSkip:
		if e.Test == "" {
			p.result = e.Action
			p.print(out)
			return
		}
		p.setResult(e.Test, e.Action)
	}
}

// setResult sets a test's result. A failure is kept, as with -count a test runs more than once.
func (p *packageRun) setResult(test, result string) {
	if p.tests[test] != actionFail {
		p.tests[test] = result
	}
}

// print prints the last line of a package that passed, or the whole output of one that failed.
func (p *packageRun) print(out io.Writer) {
	for _, e := range p.outputs {
		hidden := p.result != actionFail && (e.Test != "" || e.Output == "PASS\n")
		if !hidden && !strings.HasPrefix(e.Output, "=== ") {
			fmt.Fprint(out, e.Output)
		}
	}
	p.outputs = nil
}

// incompleteReason returns why the package's results are incomplete or inconsistent; empty if they
// are neither.
func (p *packageRun) incompleteReason() string {
	var running []string
	failed := false
	for name, result := range p.tests {
		failed = failed || result == actionFail
		if result == "" {
			running = append(running, name)
		}
	}
	slices.Sort(running)
	switch {
	case p.result == "":
		return "did not finish"
	case len(running) > 0:
		return "ended while running " + strings.Join(running, ", ")
	case p.result == actionFail && !p.finished:
		return "did not build, panicked, timed out or exited"
	case p.result == actionFail && !failed:
		return "failed without a failed test"
	}
	return ""
}
