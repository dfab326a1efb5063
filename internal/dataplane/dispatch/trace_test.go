package dispatch

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/idempotency"
)

// TestTraces runs the scripts in testdata. Each "TIME > EVENT" line is passed to a dispatcher,
// which must return exactly the commands in the "< COMMAND" lines below it, in that order.
func TestTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/*.trace")
	if err != nil || len(files) == 0 {
		t.Fatal("no trace files in testdata; error:", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".trace"), func(t *testing.T) { runTrace(t, file) })
	}
}

// runTrace runs one script.
func runTrace(t *testing.T, name string) {
	t.Helper()
	raw, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	d := New(Options{Random: rand.New(rand.NewPCG(1, 1)), Self: idempotency.Owner{Daemon: "c1", RunID: 1}})
	runner := &scriptRunner{}
	var got, want []string
	check := func(line int) {
		t.Helper()
		if strings.Join(got, "\n") != strings.Join(want, "\n") {
			t.Fatalf("before line %d:\ngot\n  %s\nwant\n  %s", line, strings.Join(got, "\n  "), strings.Join(want, "\n  "))
		}
		got, want = nil, nil
	}
	lines := strings.Split(string(raw), "\n")
	for n, line := range lines {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		if command, ok := strings.CutPrefix(line, "< "); ok {
			want = append(want, command)
			continue
		}
		check(n)
		at, words, _ := strings.Cut(line, " > ")
		offset, err := time.ParseDuration(at)
		if err != nil {
			t.Fatalf("line %d: %v", n+1, err)
		}
		now := ids.Time(offset) + 1
		for _, command := range d.Step(now, runner.parseEvent(t, now, strings.Fields(words))) {
			got = append(got, strings.TrimSpace(runner.formatCommand(command)))
		}
	}
	check(len(lines))
}
