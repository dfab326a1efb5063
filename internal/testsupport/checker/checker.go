// Package witness judges what stand-in targets and clients saw. Nothing in
// it comes from the daemons, so it can't share a mistake with them.
package checker

import (
	"fmt"
	"sync"
	"time"

	"dunlinwell/internal/base/ids"
)

// Execution is one execution at a stand-in target.
type Execution struct {
	At time.Time
	// Sent is when its bytes left the proxy, or the latest time that they may
	// have: they may wait long in the socket of a target that is frozen. Zero
	// where nobody knows: then the run's own time stands for it.
	Sent           time.Time
	Instance       ids.InstanceID
	Service        ids.Name
	Zone           ids.Name
	Token          string
	IdempotencyKey string
	Attempt        int
	// Untold: the client kept the number of its attempt to itself.
	AttemptHidden bool
	// After is how long the core had known, when the target got it, that the
	// target was leaving or gone.
	After time.Duration
	// Route is that of the path it came by, and Left the time it was given.
	Route    ids.Name
	TimeLeft time.Duration
	// Proxy carried it, and stands in By.
	Proxy     string
	ProxyZone ids.Name
}

// ClientResponse is one answer, or the lack of one, at a stand-in client.
type ClientResponse struct {
	Sent, At       time.Time
	Token          string
	IdempotencyKey string
	Attempt        int
	Class          string
	Status         int
	Body           string
	Proxy          string
	Zone           ids.Name
	Problem        string
	// Loose: no answer is owed, as when its route comes and goes.
	NoAnswerOwed bool
	// Held: it came down a connection that its client held, asking nobody.
	Held bool
}

// Checker is what the stand-ins saw. Nothing in it comes from the daemons.
type Checker struct {
	mu                sync.Mutex
	executions        []Execution
	responses         []ClientResponse
	overloads         []string
	violations        []string
	drains            []Drain
	recoveredAt       time.Time
	ledger            Ledger
	moves             moves
	closedConnections []ClosedConnection
	// knownRevision counts targets that the core came to know as leaving or gone.
	knownRevision int
	// RetryAllowance is the configuration's small allowance of retries.
	RetryAllowance float64
	// Calm: no fault of the run excuses a held connection that gets no answer.
	NoFaults bool
}

// RequestExecuted writes an execution down.
func (t *Checker) RequestExecuted(r Execution) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.executions = append(t.executions, r)
}

// RequestAnswered writes an answer down.
func (t *Checker) RequestAnswered(g ClientResponse) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.responses = append(t.responses, g)
}

// NetworkPartitioned notes that the core came to know a target as leaving or gone.
func (t *Checker) NetworkPartitioned() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.knownRevision++
}

// Overloaded notes a target that had more at once than it can bear.
func (t *Checker) Overloaded(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.overloads = append(t.overloads, fmt.Sprintf(format, args...))
}

// Violation notes a broken promise that was seen as it happened.
func (t *Checker) Violation(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.wrongly(format, args...)
}

func (t *Checker) wrongly(format string, args ...any) {
	t.violations = append(t.violations, fmt.Sprintf(format, args...))
}

// RuleResult is one line of the verdict.
type RuleResult struct {
	Rule       string
	Violations int
	Sample     string
	// Judged is how often there was anything to judge: a count of none in a
	// run that brought nothing about proves nothing, and says so.
	Judged int
	// More holds further samples, a few dozen at most.
	More []string
}

// Results counts each "never", from what was seen.
func (t *Checker) Results() []RuleResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	runs := map[string][]Execution{}
	for _, r := range t.executions {
		if r.IdempotencyKey != "" {
			runs[r.IdempotencyKey] = append(runs[r.IdempotencyKey], r)
		}
	}
	double := RuleResult{Rule: "unrepeatable request run twice"}
	double.Judged = len(runs)
	for m, list := range runs {
		if len(list) > 1 {
			double.add(fmt.Sprintf("%s ran %d times, at %s and %s", m, len(list), list[0].Instance, list[1].Instance))
		}
	}
	busy := RuleResult{Rule: "\"busy\" for what ran"}
	foreign := RuleResult{Rule: "answer not the target's own"}
	changed := RuleResult{Rule: "repeat got another outcome"}
	first := map[string]string{}
	for _, g := range t.responses {
		switch g.Class {
		case "declined":
			busy.Judged++
			for _, r := range runs[g.IdempotencyKey] {
				// A late attempt without a number can't be told from a fresh one:
				// only what ran before the answer counts against it.
				if r.Attempt <= g.Attempt && g.IdempotencyKey != "" && (!r.AttemptHidden || r.At.Before(g.At)) {
					busy.add(fmt.Sprintf("%s attempt %d declined by %s, but ran as attempt %d", g.IdempotencyKey, g.Attempt, g.Proxy, r.Attempt))
				}
			}
		case "answered":
			foreign.Judged++
			if g.Problem != "" {
				foreign.add(g.Token + ": " + g.Problem)
			}
			if g.IdempotencyKey != "" {
				if b, ok := first[g.IdempotencyKey]; ok {
					changed.Judged++
					if b != g.Body {
						changed.add(g.IdempotencyKey)
					}
				}
				first[g.IdempotencyKey] = g.Body
			}
		}
	}
	late := RuleResult{Rule: "request to a target known gone or leaving for 3 s", Judged: t.knownRevision}
	for _, r := range t.executions {
		if r.After > 3*time.Second {
			late.add(fmt.Sprintf("%s got %s through %s when that was known for %s", r.Instance, r.Token, r.Proxy, r.After))
		}
	}
	flood := RuleResult{Rule: "target flooded past 1.5 times", Judged: len(t.executions)}
	for _, f := range t.overloads {
		flood.add(f)
	}
	seen := RuleResult{Rule: "seen as it happened", Judged: t.ledger.reads + len(t.ledger.list)}
	for _, w := range t.violations {
		seen.add(w)
	}
	return []RuleResult{double, busy, foreign, changed, late, t.late(), t.inForce(), flood, t.retries(), t.live(), t.tiers(), t.nearest(), t.homeFirst(), t.restored(), seen}
}

func (c *RuleResult) add(sample string) {
	c.Violations++
	if c.Sample == "" {
		c.Sample = sample
	}
	if len(c.More) < maxSamples {
		c.More = append(c.More, sample)
	}
}

const maxSamples = 40
