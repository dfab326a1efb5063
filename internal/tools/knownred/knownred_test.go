package knownred

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// encodeEvents returns the events of a run as go test prints them.
func encodeEvents(events ...testEvent) string {
	var b strings.Builder
	for _, e := range events {
		raw, err := json.Marshal(e)
		if err != nil {
			panic(err) // can't happen: a struct of strings can be encoded
		}
		b.Write(append(raw, '\n'))
	}
	return b.String()
}

// testRun returns all events of one test.
func testRun(pkg, test, result string) []testEvent {
	return []testEvent{{"run", pkg, test, ""}, {"output", pkg, test, "=== RUN   " + test + "\n"}, {"output", pkg, test, "--- " + result + ": " + test + "\n"}, {result, pkg, test, ""}}
}

// passedPackage returns the events of a package that passed.
func passedPackage(pkg string, tests ...[]testEvent) []testEvent {
	return append(packageEvents(pkg, tests), testEvent{"output", pkg, "", "PASS\n"}, testEvent{"output", pkg, "", "ok  \t" + pkg + "\t0.1s\n"}, testEvent{"pass", pkg, "", ""})
}

// failedPackage returns the events of a package that ran to completion and failed.
func failedPackage(pkg string, tests ...[]testEvent) []testEvent {
	return append(packageEvents(pkg, tests), testEvent{"output", pkg, "", "FAIL\n"}, testEvent{"output", pkg, "", "FAIL\t" + pkg + "\t0.1s\n"}, testEvent{"fail", pkg, "", ""})
}

// crashedPackage returns the events of a package whose test binary crashed, so that it printed no
// final FAIL line.
func crashedPackage(pkg string, tests ...[]testEvent) []testEvent {
	return append(packageEvents(pkg, tests), testEvent{"output", pkg, "", "FAIL\t" + pkg + "\t0.1s\n"}, testEvent{"fail", pkg, "", ""})
}

// packageEvents returns the events of a package up to the last test.
func packageEvents(pkg string, tests [][]testEvent) []testEvent {
	out := []testEvent{{"start", pkg, "", ""}}
	for _, t := range tests {
		out = append(out, t...)
	}
	return out
}

func TestJudge_Verdict(t *testing.T) {
	for name, c := range map[string]struct {
		run    []testEvent
		list   string
		exit   int
		passed string
		want   string
	}{
		"all pass":                               {run: passedPackage("m/a", testRun("m/a", "TestX", "pass"))},
		"failed, not listed":                     {run: failedPackage("m/a", testRun("m/a", "TestX", "fail")), exit: 1, want: "m/a.TestX failed and is not listed"},
		"failed and listed":                      {run: failedPackage("m/a", testRun("m/a", "TestX", "fail")), exit: 1, list: "m/a.TestX | slow | 11", passed: "m/a.TestX | slow | 11"},
		"another failure":                        {run: failedPackage("m/a", testRun("m/a", "TestX", "fail"), testRun("m/a", "TestY", "fail")), exit: 1, list: "m/a.TestX | slow | 11", passed: "m/a.TestX | slow | 11", want: "m/a.TestY failed and is not listed"},
		"same name in another package":           {run: append(failedPackage("m/a", testRun("m/a", "TestX", "fail")), failedPackage("m/b", testRun("m/b", "TestX", "fail"))...), exit: 1, list: "m/a.TestX | slow | 11", passed: "m/a.TestX | slow | 11", want: "m/b.TestX failed and is not listed"},
		"listed, passes":                         {run: passedPackage("m/a", testRun("m/a", "TestX", "pass")), list: "m/a.TestX | slow | 11", want: `m/a.TestX is listed as known to fail, but its result is "pass"`},
		"listed, skipped":                        {run: passedPackage("m/a", testRun("m/a", "TestX", "skip")), list: "m/a.TestX | slow | 11", want: `m/a.TestX is listed as known to fail, but its result is "skip"`},
		"listed, not run":                        {run: passedPackage("m/a", testRun("m/a", "TestX", "pass")), list: "m/a.TestY | slow | 11", want: "m/a.TestY is listed as known to fail, but did not run"},
		"subtest and parent":                     {run: failedPackage("m/a", testRun("m/a", "TestX/one", "fail"), testRun("m/a", "TestX", "fail")), exit: 1, list: "m/a.TestX | c | 1\nm/a.TestX/one | c | 1", passed: "m/a.TestX | c | 1\nm/a.TestX/one | c | 1"},
		"subtest listed, parent not":             {run: failedPackage("m/a", testRun("m/a", "TestX/one", "fail"), testRun("m/a", "TestX", "fail")), exit: 1, list: "m/a.TestX/one | c | 1", passed: "m/a.TestX/one | c | 1", want: "m/a.TestX failed and is not listed"},
		"another subtest":                        {run: failedPackage("m/a", testRun("m/a", "TestX/two", "fail"), testRun("m/a", "TestX", "fail")), exit: 1, list: "m/a.TestX | c | 1\nm/a.TestX/one | c | 1", passed: "m/a.TestX | c | 1", want: "m/a.TestX/one is listed as known to fail, but did not run\nm/a.TestX/two failed and is not listed"},
		"failed one of two runs":                 {run: failedPackage("m/a", testRun("m/a", "TestX", "fail"), testRun("m/a", "TestX", "pass")), exit: 1, want: "m/a.TestX failed and is not listed"},
		"package doesn't build":                  {run: crashedPackage("m/a"), exit: 1, want: "m/a did not build, panicked, timed out or exited"},
		"listed test panics":                     {run: crashedPackage("m/a", testRun("m/a", "TestX", "fail")), exit: 1, list: "m/a.TestX | slow | 11", passed: "m/a.TestX | slow | 11", want: "m/a did not build, panicked, timed out or exited"},
		"timed out, no result":                   {run: crashedPackage("m/a", testRun("m/a", "TestX", "pass"), testRun("m/a", "TestY", "")[:2]), exit: 1, list: "m/a.TestY | slow | 11", want: "m/a ended while running TestY"},
		"output truncated":                       {run: passedPackage("m/a", testRun("m/a", "TestX", "pass"))[:4], exit: 1, want: "m/a did not finish\ngo test exited with code 1 and 0 failed packages"},
		"package fails without a failed test":    {run: failedPackage("m/a", testRun("m/a", "TestX", "pass")), exit: 1, want: "m/a failed without a failed test"},
		"no package":                             {exit: 1, want: "no package was tested"},
		"go test fails without a failed package": {run: passedPackage("m/a"), exit: 1, want: "go test exited with code 1 and 0 failed packages"},
		"go test was killed":                     {run: failedPackage("m/a", testRun("m/a", "TestX", "fail")), exit: -1, list: "m/a.TestX | slow | 11", passed: "m/a.TestX | slow | 11", want: "go test exited with code -1 and 1 failed packages"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			j := New(&strings.Builder{})
			is.NoErr(j.ReadEvents(strings.NewReader(encodeEvents(c.run...))))
			list, err := Read(c.list)
			is.NoErr(err)
			v := j.Verdict(list, c.exit)
			is.Equal(strings.Join(v.KnownFailures, "\n"), c.passed)
			is.Equal(strings.Join(v.Problems, "\n"), c.want)
		})
	}
}

// TestJudge_ReadEvents_PrintsAsGoTest checks that the output is that of go test: the last line of each
// package, and the whole output of a failed one.
func TestJudge_ReadEvents_PrintsAsGoTest(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	j := New(&out)
	run := "go: not JSON\n" + encodeEvents(testEvent{Action: "build-output", Output: "# m/c\n"}) + encodeEvents(passedPackage("m/a", testRun("m/a", "TestX", "pass"))...) + encodeEvents(failedPackage("m/b", testRun("m/b", "TestY", "fail"))...)
	is.NoErr(j.ReadEvents(strings.NewReader(run)))
	is.Equal(out.String(), "go: not JSON\n# m/c\nok  \tm/a\t0.1s\n--- fail: TestY\nFAIL\nFAIL\tm/b\t0.1s\n")
}

func TestRead(t *testing.T) {
	is := is.New(t)
	list, err := Read("# comment\n\n  m/a.TestX/a.b | it is slow | 11\n#m/b.TestY\n")
	is.NoErr(err)
	is.Equal(list, []Entry{{"m/a.TestX/a.b", "it is slow", "11"}})
	for raw, want := range map[string]string{
		"m/a.TestX":                            "line 1: want",
		"#\nm/a.TestX | cause":                 "line 2: want",
		"m/a.TestX | cause | ":                 "line 1: missing test, cause or issue",
		"m/a.TestX | c | 1\nm/a.TestX | d | 2": "line 2: m/a.TestX is listed twice",
	} {
		_, err := Read(raw)
		is.True(err != nil && strings.HasPrefix(err.Error(), want))
	}
}
