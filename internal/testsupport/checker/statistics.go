package checker

import "time"

// ShareAnsweredWithin returns the share of requests that were answered within a duration from their
// first attempt, and the number of requests.
func (c *Checker) ShareAnsweredWithin(within time.Duration) (float64, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	first, answered := map[string]time.Time{}, map[string]bool{}
	for _, response := range c.responses {
		if at, ok := first[response.Token]; !ok || response.Sent.Before(at) {
			first[response.Token] = response.Sent
		}
	}
	for _, response := range c.responses {
		if response.Class == ClassAnswered && response.At.Sub(first[response.Token]) <= within {
			answered[response.Token] = true
		}
	}
	if len(first) == 0 {
		return 0, 0
	}
	return float64(len(answered)) / float64(len(first)), len(first)
}

// EachAttempt calls visit for every attempt, in the order in which the attempts ended.
func (c *Checker) EachAttempt(visit func(token string, attempt int, class string, took time.Duration)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, response := range c.responses {
		visit(response.Token, response.Attempt, response.Class, response.At.Sub(response.Sent))
	}
}

// Served returns the number of answered first attempts, and of all first attempts, of idempotent
// requests sent between two times.
func (c *Checker) Served(from, to time.Time) (answered, all int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, response := range c.responses {
		if response.Attempt != 1 || response.IdempotencyKey != "" || response.ResponseOptional || response.Sent.Before(from) || response.Sent.After(to) {
			continue
		}
		all++
		if response.Class == ClassAnswered {
			answered++
		}
	}
	return answered, all
}

// CountByClass returns the number of attempts sent after a time by class, and under "runs" the
// number of all executions.
func (c *Checker) CountByClass(since time.Time) map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := map[string]int{}
	for _, response := range c.responses {
		if response.Sent.After(since) {
			counts[response.Class]++
		}
	}
	counts["runs"] = len(c.executions)
	return counts
}
