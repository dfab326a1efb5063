package checker

import (
	"fmt"
	"time"
)

// departedTargetGrace is how long after the control plane learns that a target is leaving or dead
// a proxy may still send to it: the time that a push needs to reach every serving proxy.
const departedTargetGrace = 3 * time.Second

// maxSamples bounds the samples kept for one rule.
const maxSamples = 40

// RuleResult is the result of one rule of the checker.
type RuleResult struct {
	Rule       string
	Violations int
	// Sample is the first violation found.
	Sample string
	// Judged counts the observations that the rule applied to. If it is zero, the absence of
	// violations proves nothing.
	Judged int
	// Samples holds the first violations, at most maxSamples.
	Samples []string
}

func (r *RuleResult) add(sample string) {
	r.Violations++
	if r.Sample == "" {
		r.Sample = sample
	}
	if len(r.Samples) < maxSamples {
		r.Samples = append(r.Samples, sample)
	}
}

// Results evaluates each rule on everything observed so far. The order of the rules is fixed.
func (c *Checker) Results() []RuleResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	byKey := c.executionsByKey()
	falselyRejected, foreign, changed := c.responseRules(byKey)
	return []RuleResult{
		executedTwice(byKey), falselyRejected, foreign, changed, c.sentToDeparted(),
		c.newWorkInDrainedZones(), c.requestsByOldConfiguration(), c.overloadedTargets(), c.retriesOverBudget(),
		c.longLivedConnectionsClosed(), c.tierOrderViolations(), c.distanceOrderViolations(),
		c.foreignTrafficBeforeOwn(), c.unansweredAfterRecovery(), c.observedViolations(),
	}
}

// executionsByKey groups the executions of non-idempotent requests by idempotency key.
func (c *Checker) executionsByKey() map[string][]Execution {
	byKey := map[string][]Execution{}
	for _, execution := range c.executions {
		if execution.IdempotencyKey != "" {
			byKey[execution.IdempotencyKey] = append(byKey[execution.IdempotencyKey], execution)
		}
	}
	return byKey
}

// executedTwice finds non-idempotent requests that were executed more than once.
func executedTwice(byKey map[string][]Execution) RuleResult {
	result := RuleResult{Rule: "non-idempotent request executed twice", Judged: len(byKey)}
	for key, list := range byKey {
		if len(list) > 1 {
			result.add(fmt.Sprintf("%s was executed %d times, at %s and %s", key, len(list), list[0].Instance, list[1].Instance))
		}
	}
	return result
}

// responseRules finds rejections of requests that were executed, responses that did not come from
// the target, and retries whose response differs from the first one.
func (c *Checker) responseRules(byKey map[string][]Execution) (falselyRejected, foreign, changed RuleResult) {
	falselyRejected.Rule = "executed request reported as rejected"
	foreign.Rule = "response not from the target"
	changed.Rule = "retry got a different response"
	lastBodies := map[string]string{}
	for _, response := range c.responses {
		switch response.Class {
		case ClassRejected:
			falselyRejected.Judged++
			for _, execution := range byKey[response.IdempotencyKey] {
				if contradictsRejection(execution, response) {
					falselyRejected.add(fmt.Sprintf("%s attempt %d was rejected by %s, but executed as attempt %d", response.IdempotencyKey, response.Attempt, response.Proxy, execution.Attempt))
				}
			}
		case ClassAnswered:
			foreign.Judged++
			if response.Problem != "" {
				foreign.add(response.Token + ": " + response.Problem)
			}
			if response.IdempotencyKey == "" {
				continue
			}
			if body, ok := lastBodies[response.IdempotencyKey]; ok {
				changed.Judged++
				if body != response.Body {
					changed.add(response.IdempotencyKey)
				}
			}
			lastBodies[response.IdempotencyKey] = response.Body
		}
	}
	return falselyRejected, foreign, changed
}

// contradictsRejection reports whether an execution shows that a rejected attempt, or an earlier
// one, was executed. Attempts without a number can't be ordered, so those count only if they were
// executed before the rejection.
func contradictsRejection(execution Execution, rejection ClientResponse) bool {
	return execution.Attempt <= rejection.Attempt && rejection.IdempotencyKey != "" && (!execution.AttemptOmitted || execution.At.Before(rejection.At))
}

// sentToDeparted finds requests that reached a target more than departedTargetGrace after the
// control plane learned that it was leaving or dead.
func (c *Checker) sentToDeparted() RuleResult {
	result := RuleResult{Rule: "request to a target known gone or leaving for 3 s", Judged: c.departuresKnown}
	for _, execution := range c.executions {
		if execution.DepartureKnownFor > departedTargetGrace {
			result.add(fmt.Sprintf("%s got %s through %s when its departure had been known for %s", execution.Instance, execution.Token, execution.Proxy, execution.DepartureKnownFor))
		}
	}
	return result
}

// overloadedTargets returns the overloads that targets reported.
func (c *Checker) overloadedTargets() RuleResult {
	result := RuleResult{Rule: "target loaded beyond 1.5 times its capacity", Judged: len(c.executions)}
	for _, overload := range c.overloads {
		result.add(overload)
	}
	return result
}

// observedViolations returns the violations that were recorded during the run.
func (c *Checker) observedViolations() RuleResult {
	result := RuleResult{Rule: "violation recorded during the run", Judged: c.history.reads + len(c.history.changes)}
	for _, violation := range c.violations {
		result.add(violation)
	}
	return result
}
