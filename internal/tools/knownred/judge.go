package knownred

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// testEvent is one event of `go test -json`, as documented by `go doc test2json`.
type testEvent struct {
	Action  string `json:"Action"`
	Package string `json:"Package"`
	Test    string `json:"Test"`
	Output  string `json:"Output"`
}

// Actions of test events. The last three are also the results of tests and packages; the result is
// empty until the test or package ends.
const (
	actionRun    = "run"
	actionOutput = "output"
	actionPass   = "pass"
	actionFail   = "fail"
	actionSkip   = "skip"
)

// Judge collects the events of a test run and evaluates them.
type Judge struct {
	out      io.Writer
	packages map[string]*packageRun
}

// New returns a Judge that prints to out what go test would print.
func New(out io.Writer) *Judge { return &Judge{out: out, packages: map[string]*packageRun{}} }

// ReadEvents reads the events of a run until EOF.
func (j *Judge) ReadEvents(run io.Reader) error {
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

// handleLine handles one line of output. It prints lines that aren't JSON, and build output.
func (j *Judge) handleLine(line string) {
	var e testEvent
	if json.Unmarshal([]byte(line), &e) != nil {
		fmt.Fprint(j.out, line)
		return
	}
	if e.Package == "" {
		fmt.Fprint(j.out, e.Output)
		return
	}
	p := j.packages[e.Package]
	if p == nil {
		p = &packageRun{tests: map[string]string{}}
		j.packages[e.Package] = p
	}
	p.handleEvent(e, j.out)
}
