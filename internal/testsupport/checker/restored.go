package checker

import (
	"fmt"
	"time"
)

// restoreWithin is how soon service must be whole once the machines are back.
const restoreWithin = 15 * time.Second

// changeInForceWithin is how soon a change is then answered.
const changeInForceWithin = 5 * time.Second

// MachinesRecovered notes that the last machine is back.
func (t *Checker) MachinesRecovered(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recoveredAt = at
}

// restored counts first attempts that were not answered though the machines
// had been back for long enough.
func (t *Checker) restored() RuleResult {
	c := RuleResult{Rule: "not answered 15 s after the machines were back"}
	for _, g := range t.responses {
		if t.recoveredAt.IsZero() || g.Attempt != 1 || g.NoAnswerOwed || g.Sent.Sub(t.recoveredAt) <= restoreWithin {
			continue
		}
		c.Judged++
		if g.Class != "answered" {
			c.add(fmt.Sprintf("%s was %s by %s %s after", g.Token, g.Class, g.Proxy, g.Sent.Sub(t.recoveredAt).Round(time.Millisecond)))
		}
	}
	for _, ch := range t.ledger.list {
		if t.recoveredAt.IsZero() || ch.rejected || ch.SentAt.Sub(t.recoveredAt) <= restoreWithin {
			continue
		}
		c.Judged++
		if ch.Revision == 0 || ch.AnsweredAt.Sub(ch.SentAt) > changeInForceWithin {
			c.add(fmt.Sprintf("change %s asked %s after, told %s later", ch.ID, ch.SentAt.Sub(t.recoveredAt).Round(time.Millisecond), ch.AnsweredAt.Sub(ch.SentAt)))
		}
	}
	return c
}

// Recovery is how long after the machines were back the last first attempt
// was sent that wasn't answered; zero if all were.
func (t *Checker) Recovery() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	last := time.Duration(0)
	for _, g := range t.responses {
		if !t.recoveredAt.IsZero() && g.Attempt == 1 && !g.NoAnswerOwed && g.Class != "answered" {
			last = max(last, g.Sent.Sub(t.recoveredAt))
		}
	}
	return last
}

// ShareWithin gives the share of requests whose client had an answer within a
// span of its first attempt, and how many there were.
func (t *Checker) ShareWithin(within time.Duration) (float64, int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	first, good := map[string]time.Time{}, map[string]bool{}
	for _, g := range t.responses {
		if at, ok := first[g.Token]; !ok || g.Sent.Before(at) {
			first[g.Token] = g.Sent
		}
	}
	for _, g := range t.responses {
		if g.Class == "answered" && g.At.Sub(first[g.Token]) <= within {
			good[g.Token] = true
		}
	}
	if len(first) == 0 {
		return 0, 0
	}
	return float64(len(good)) / float64(len(first)), len(first)
}

// Each shows every answer in turn.
func (t *Checker) Each(f func(token string, attempt int, class string, took time.Duration)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, g := range t.responses {
		f(g.Token, g.Attempt, g.Class, g.At.Sub(g.Sent))
	}
}

// Served gives, of the first attempts of repeatable requests sent in a span,
// how many were answered, and how many there were.
func (t *Checker) Served(from, to time.Time) (answered, all int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, g := range t.responses {
		if g.Attempt != 1 || g.IdempotencyKey != "" || g.NoAnswerOwed || g.Sent.Before(from) || g.Sent.After(to) {
			continue
		}
		all++
		if g.Class == "answered" {
			answered++
		}
	}
	return answered, all
}
