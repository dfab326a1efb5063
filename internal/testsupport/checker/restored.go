package checker

import (
	"fmt"
	"time"
)

// restoreWithin is how soon service must be whole once the machines are back.
const restoreWithin = 15 * time.Second

// changeWithin is how soon a change is then answered.
const changeWithin = 5 * time.Second

// Healed notes that the last machine is back.
func (t *Truth) Healed(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.healed = at
}

// restored counts first attempts that were not answered though the machines
// had been back for long enough.
func (t *Truth) restored() Count {
	c := Count{What: "not answered 15 s after the machines were back"}
	for _, g := range t.got {
		if t.healed.IsZero() || g.Attempt != 1 || g.Loose || g.Sent.Sub(t.healed) <= restoreWithin {
			continue
		}
		c.Judged++
		if g.Class != "answered" {
			c.add(fmt.Sprintf("%s was %s by %s %s after", g.Token, g.Class, g.Proxy, g.Sent.Sub(t.healed).Round(time.Millisecond)))
		}
	}
	for _, ch := range t.books.list {
		if t.healed.IsZero() || ch.declined || ch.Asked.Sub(t.healed) <= restoreWithin {
			continue
		}
		c.Judged++
		if ch.Revision == 0 || ch.Told.Sub(ch.Asked) > changeWithin {
			c.add(fmt.Sprintf("change %s asked %s after, told %s later", ch.ID, ch.Asked.Sub(t.healed).Round(time.Millisecond), ch.Told.Sub(ch.Asked)))
		}
	}
	return c
}

// Recovery is how long after the machines were back the last first attempt
// was sent that wasn't answered; zero if all were.
func (t *Truth) Recovery() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	last := time.Duration(0)
	for _, g := range t.got {
		if !t.healed.IsZero() && g.Attempt == 1 && !g.Loose && g.Class != "answered" {
			last = max(last, g.Sent.Sub(t.healed))
		}
	}
	return last
}

// InTime gives the share of requests whose consumer had an answer within a
// span of its first attempt, and how many there were.
func (t *Truth) InTime(within time.Duration) (float64, int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	first, good := map[string]time.Time{}, map[string]bool{}
	for _, g := range t.got {
		if at, ok := first[g.Token]; !ok || g.Sent.Before(at) {
			first[g.Token] = g.Sent
		}
	}
	for _, g := range t.got {
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
func (t *Truth) Each(f func(token string, attempt int, class string, took time.Duration)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, g := range t.got {
		f(g.Token, g.Attempt, g.Class, g.At.Sub(g.Sent))
	}
}

// Served gives, of the first attempts of repeatable requests sent in a span,
// how many were answered, and how many there were.
func (t *Truth) Served(from, to time.Time) (answered, all int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, g := range t.got {
		if g.Attempt != 1 || g.Mark != "" || g.Loose || g.Sent.Before(from) || g.Sent.After(to) {
			continue
		}
		all++
		if g.Class == "answered" {
			answered++
		}
	}
	return answered, all
}
