package checker

import (
	"fmt"
	"sort"
	"time"

	"dunlinwell/internal/base/ids"
)

// retries finds spans of ten seconds in which a service saw more repeated
// requests than one in five first ones and the allowance.
func (t *Checker) retries() RuleResult {
	c := RuleResult{Rule: "retries past one in five and the allowance in 10 s"}
	type hit struct {
		at    time.Time
		again bool
	}
	by := map[ids.Name][]hit{}
	seen := map[string]bool{}
	for _, r := range t.executions {
		by[r.Service] = append(by[r.Service], hit{r.At, seen[r.Token] || (r.Attempt > 1 && !r.AttemptHidden)})
		seen[r.Token] = true
	}
	for s, list := range by {
		sort.Slice(list, func(i, j int) bool { return list[i].at.Before(list[j].at) })
		lo, firsts, again := 0, 0, 0
		for _, h := range list {
			for ; h.at.Sub(list[lo].at) > 10*time.Second; lo++ {
				if list[lo].again {
					again--
				} else {
					firsts--
				}
			}
			c.Judged++
			if h.again {
				again++
			} else {
				firsts++
			}
			if float64(again) > 0.2*float64(firsts)+t.RetryAllowance {
				c.add(fmt.Sprintf("%s: %d retries on %d first requests", s, again, firsts))
			}
		}
	}
	return c
}

// CountByClass counts answers by class, and shares in time.
func (t *Checker) CountByClass(since time.Time) map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]int{}
	for _, g := range t.responses {
		if g.Sent.After(since) {
			out[g.Class]++
		}
	}
	out["runs"] = len(t.executions)
	return out
}
