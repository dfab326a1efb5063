package main

import (
	"fmt"

	"dunlinwell/internal/testsupport/simulator"
)

// totals are the sums over several simulator runs.
type totals struct {
	events uint64
	// failedRuns is how many runs violated a guarantee.
	failedRuns int
	// responses are counted by class, with the accepted changes as "changes".
	responses map[string]int
	// checks and violations are counted by rule, faults by kind.
	checks, violations, faults map[string]int
	// rules are in the order in which the checker names them.
	rules []string
}

func newTotals() *totals {
	return &totals{responses: map[string]int{}, checks: map[string]int{}, violations: map[string]int{}, faults: map[string]int{}}
}

// add adds the outcome of one run.
func (t *totals) add(o simulator.Outcome) {
	t.events += o.Events
	if o.Violations > 0 {
		t.failedRuns++
	}
	for class, n := range o.Responses {
		t.responses[class] += n
	}
	t.responses["changes"] += o.Changes
	for kind, n := range o.FaultCounts {
		t.faults[kind] += n
	}
	for _, c := range o.Results {
		if _, ok := t.checks[c.Rule]; !ok {
			t.rules = append(t.rules, c.Rule)
		}
		t.checks[c.Rule] += c.Judged
		t.violations[c.Rule] += c.Violations
	}
}

// printRules prints how often each rule was violated and checked. A rule that
// was never checked says so: it shows nothing.
func (t *totals) printRules() {
	for _, rule := range t.rules {
		if t.checks[rule] == 0 && t.violations[rule] == 0 {
			fmt.Printf("  %-62s nothing to judge\n", rule)
			continue
		}
		fmt.Printf("  %-62s %d in %d\n", rule, t.violations[rule], t.checks[rule])
	}
}
