package knownred

import (
	"fmt"
	"io"
	"slices"
	"strings"
)

// packageRun is the state of one package's tests.
type packageRun struct {
	// result is that of the package, empty until it ended.
	result string
	// tests holds each test's result, empty while it runs.
	tests   map[string]string
	outputs []testEvent
	// finished says that the test binary ended by itself and printed its last line. One
	// that panicked, ran out of time or exited leaves later tests unrun, and prints none.
	finished bool
}

// handleEvent takes an event of the package, and prints the package once it ended.
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

// setResult sets a test's result. With -count over 1 a test that failed once has failed.
func (p *packageRun) setResult(test, result string) {
	if p.tests[test] != actionFail {
		p.tests[test] = result
	}
}

// print prints the package's last line, and for a failed one all of its output.
func (p *packageRun) print(out io.Writer) {
	for _, e := range p.outputs {
		hidden := p.result != actionFail && (e.Test != "" || e.Output == "PASS\n")
		if !hidden && !strings.HasPrefix(e.Output, "=== ") {
			fmt.Fprint(out, e.Output)
		}
	}
	p.outputs = nil
}

// incompleteReason says why the package's results can't be relied on; empty if they
// can.
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
		return "came to no end"
	case len(running) > 0:
		return "ended in the midst of " + strings.Join(running, ", ")
	case p.result == actionFail && !p.finished:
		return "didn't build, panicked, ran out of time or exited"
	case p.result == actionFail && !failed:
		return "failed without a red test"
	}
	return ""
}
