package knownred

import (
	"fmt"
	"maps"
	"slices"
)

// exitTestsFailed is the exit code of go test if a package failed.
const exitTestsFailed = 1

// Verdict is the result of a run: the failures that are listed, and the reasons to fail the run. A
// run without problems passes.
type Verdict struct{ KnownFailures, Problems []string }

// addProblem adds a problem.
func (v *Verdict) addProblem(format string, args ...any) {
	v.Problems = append(v.Problems, fmt.Sprintf(format, args...))
}

// Verdict evaluates the run by the list and by the exit code of go test. A failed subtest and its
// parent need an entry each, as the events don't show whether the parent also failed by itself.
func (j *Judge) Verdict(list []Entry, exit int) Verdict {
	var v Verdict
	j.judgePackages(&v)
	j.judgeTests(&v, list)
	j.judgeExit(&v, exit)
	return v
}

// judgePackages reports packages with incomplete results.
func (j *Judge) judgePackages(v *Verdict) {
	for _, name := range slices.Sorted(maps.Keys(j.packages)) {
		if reason := j.packages[name].incompleteReason(); reason != "" {
			v.addProblem("%s %s", name, reason)
		}
	}
}

// judgeTests reports listed tests that did not fail and failed tests that are not listed.
func (j *Judge) judgeTests(v *Verdict, list []Entry) {
	results := j.testResults()
	listed := map[string]bool{}
	for _, entry := range list {
		listed[entry.Test] = true
		switch result, ran := results[entry.Test]; {
		case !ran:
			v.addProblem("%s is listed as known to fail, but did not run", entry.Test)
		case result == actionFail:
			v.KnownFailures = append(v.KnownFailures, entry.String())
		case result != "":
			v.addProblem("%s is listed as known to fail, but its result is %q", entry.Test, result)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(results)) {
		if results[name] == actionFail && !listed[name] {
			v.addProblem("%s failed and is not listed", name)
		}
	}
}

// testResults returns the result of each test, by package.TestName.
func (j *Judge) testResults() map[string]string {
	results := map[string]string{}
	for name, p := range j.packages {
		for test, result := range p.tests {
			results[name+"."+test] = result
		}
	}
	return results
}

// judgeExit reports an exit code that the events don't explain, such as that for a package that
// can't be found.
func (j *Judge) judgeExit(v *Verdict, exit int) {
	failed := 0
	for _, p := range j.packages {
		if p.result == actionFail {
			failed++
		}
	}
	switch {
	case len(j.packages) == 0:
		v.addProblem("no package was tested")
	case exit != 0 && (exit != exitTestsFailed || failed == 0), exit == 0 && failed > 0:
		v.addProblem("go test exited with code %d and %d failed packages", exit, failed)
	}
}
