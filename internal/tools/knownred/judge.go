package knownred

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// testEvent is a line of `go test -json`; `go doc test2json` describes it.
type testEvent struct {
	Action  string `json:"Action"`
	Package string `json:"Package"`
	Test    string `json:"Test"`
	Output  string `json:"Output"`
}

// The actions of events that count here. The last three are also the results of tests
// and packages; the result of one that has none yet is empty.
const (
	actionRun    = "run"
	actionOutput = "output"
	actionPass   = "pass"
	actionFail   = "fail"
	actionSkip   = "skip"
)

// Judge follows a test run and judges it.
type Judge struct {
	out      io.Writer
	packages map[string]*packageRun
}

// New makes a judge that prints to out what go test would print.
func New(out io.Writer) *Judge { return &Judge{out: out, packages: map[string]*packageRun{}} }

// Follow reads the events of a run to its end.
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

// handleLine takes an event; lines that aren't JSON, and those of a build, are printed.
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
