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

// A recorded trace: "TIME > event" lines are played, and the "< command" lines
// under each must be just what the dispatcher wants done, in that order.
func TestTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/*.trace")
	if err != nil || len(files) == 0 {
		t.Fatal("no traces", err)
	}
	for _, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".trace"), func(t *testing.T) { runTrace(t, f) })
	}
}

func runTrace(t *testing.T, name string) {
	raw, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	d := New(Options{Random: rand.New(rand.NewPCG(1, 1)), Self: idempotency.Owner{Daemon: "c1", RunID: 1}})
	p := &scriptRunner{}
	var got, want []string
	check := func(line int) {
		if strings.Join(got, "\n") != strings.Join(want, "\n") {
			t.Fatalf("before line %d:\ngot\n  %s\nwant\n  %s", line, strings.Join(got, "\n  "), strings.Join(want, "\n  "))
		}
		got, want = nil, nil
	}
	lines := strings.Split(string(raw), "\n")
	for n, line := range lines {
		line = strings.TrimSpace(line)
		switch {
		case line == "" || strings.HasPrefix(line, "#"):
		case strings.HasPrefix(line, "< "):
			want = append(want, line[2:])
		default:
			check(n)
			at, words, _ := strings.Cut(line, " > ")
			span, err := time.ParseDuration(at)
			if err != nil {
				t.Fatalf("line %d: %v", n+1, err)
			}
			now := ids.Time(span) + 1
			for _, ev := range p.parseEvent(t, now, strings.Fields(words)) {
				for _, c := range d.Step(now, ev) {
					got = append(got, strings.TrimSpace(p.formatCommand(c)))
				}
			}
		}
	}
	check(len(lines))
}
