package checker

import (
	"fmt"
	"time"
)

// restoreWithin is the required time from the return of the last machine until every request is
// answered.
const restoreWithin = 15 * time.Second

// changeAnsweredWithin is the time limit for the response to a change after restoreWithin.
const changeAnsweredWithin = 5 * time.Second

// MachinesRecovered records that the last failed machine is running again.
func (c *Checker) MachinesRecovered(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recoveredAt = at
}

// unansweredAfterRecovery finds first attempts and changes that were sent more than restoreWithin
// after the recovery of the machines and not answered in time.
func (c *Checker) unansweredAfterRecovery() RuleResult {
	result := RuleResult{Rule: "not answered 15 s after the machines were back"}
	for _, response := range c.responses {
		if c.recoveredAt.IsZero() || response.Attempt != 1 || response.ResponseOptional || response.Sent.Sub(c.recoveredAt) <= restoreWithin {
			continue
		}
		result.Judged++
		if response.Class != ClassAnswered {
			result.add(fmt.Sprintf("%s was %s by %s %s after the recovery", response.Token, response.Class, response.Proxy, response.Sent.Sub(c.recoveredAt).Round(time.Millisecond)))
		}
	}
	for _, change := range c.history.changes {
		if c.recoveredAt.IsZero() || change.rejected || change.SentAt.Sub(c.recoveredAt) <= restoreWithin {
			continue
		}
		result.Judged++
		if change.Revision == 0 || change.AnsweredAt.Sub(change.SentAt) > changeAnsweredWithin {
			result.add(fmt.Sprintf("change %s was sent %s after the recovery and answered %s later", change.ID, change.SentAt.Sub(c.recoveredAt).Round(time.Millisecond), change.AnsweredAt.Sub(change.SentAt)))
		}
	}
	return result
}

// RecoveryTime returns how long after the recovery of the machines the last unanswered first attempt
// was sent; zero if all were answered.
func (c *Checker) RecoveryTime() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := time.Duration(0)
	for _, response := range c.responses {
		if !c.recoveredAt.IsZero() && response.Attempt == 1 && !response.ResponseOptional && response.Class != ClassAnswered {
			last = max(last, response.Sent.Sub(c.recoveredAt))
		}
	}
	return last
}
