package checker

import (
	"fmt"
	"sort"
	"time"

	"dunlinwell/internal/base/ids"
)

const (
	// retryWindow is the length of the sliding window for the retry budget.
	retryWindow = 10 * time.Second
	// retryShare is the number of retries per first request that a service may get in a window,
	// in addition to the allowance.
	retryShare = 0.2
)

// arrival is one request at a target: a first attempt or a retry.
type arrival struct {
	at    time.Time
	retry bool
}

// retriesOverBudget finds windows in which a service got more retries than retryShare of its first
// requests plus the allowance.
func (c *Checker) retriesOverBudget() RuleResult {
	result := RuleResult{Rule: "retries over 20% of first requests plus the allowance in 10 s"}
	for service, arrivals := range c.arrivalsByService() {
		oldest, firsts, retries := 0, 0, 0
		count := func(a arrival, n int) {
			if a.retry {
				retries += n
			} else {
				firsts += n
			}
		}
		for _, newest := range arrivals {
			for ; newest.at.Sub(arrivals[oldest].at) > retryWindow; oldest++ {
				count(arrivals[oldest], -1)
			}
			result.Judged++
			count(newest, 1)
			if float64(retries) > retryShare*float64(firsts)+c.RetryAllowance {
				result.add(fmt.Sprintf("%s: %d retries for %d first requests", service, retries, firsts))
			}
		}
	}
	return result
}

// arrivalsByService returns each service's requests in order of arrival.
func (c *Checker) arrivalsByService() map[ids.Name][]arrival {
	byService := map[ids.Name][]arrival{}
	seen := map[string]bool{}
	for _, execution := range c.executions {
		retry := seen[execution.Token] || (execution.Attempt > 1 && !execution.AttemptOmitted)
		byService[execution.Service] = append(byService[execution.Service], arrival{execution.At, retry})
		seen[execution.Token] = true
	}
	for _, arrivals := range byService {
		sort.Slice(arrivals, func(i, j int) bool { return arrivals[i].at.Before(arrivals[j].at) })
	}
	return byService
}
