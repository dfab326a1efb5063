package main

import (
	"fmt"

	"dunlinwell/internal/testsupport/simulator"
)

// totals holds the sums over several simulator runs.
type totals struct {
	events uint64
	// failedRuns is the number of runs that violated a guarantee.
	failedRuns int
	// responses counts responses by class, and accepted changes as "changes".
	responses map[string]int
	// checks and violations are counted by rule, faults by kind.
	checks, violations, faults map[string]int
	// rules lists the rules in the checker's order.
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

// printRules prints how often each rule was violated and checked. A rule without checks is
// reported as not checked rather than as passed.
func (t *totals) printRules() {
	for _, rule := range t.rules {
		if t.checks[rule] == 0 && t.violations[rule] == 0 {
			fmt.Printf("  %-62s not checked\n", rule)
			continue
		}
		fmt.Printf("  %-62s %d violations in %d checks\n", rule, t.violations[rule], t.checks[rule])
	}
}
