// Package witness judges what stand-in targets and consumers saw. Nothing in
// it comes from the daemons, so it can't share a mistake with them.
package checker

import (
	"fmt"
	"sync"
	"time"

	"dunlinwell/internal/base/ids"
)

// Ran is one execution at a stand-in target.
type Ran struct {
	At time.Time
	// Sent is when its bytes left the proxy, or the latest time that they may
	// have: they may wait long in the socket of a target that is frozen. Zero
	// where nobody knows: then the run's own time stands for it.
	Sent     time.Time
	Instance ids.Instance
	Service  ids.Name
	Cell     ids.Name
	Token    string
	Mark     string
	Attempt  int
	// Untold: the consumer kept the number of its attempt to itself.
	Untold bool
	// After is how long the core had known, when the target got it, that the
	// target was leaving or gone.
	After time.Duration
	// Route is that of the path it came by, and Left the time it was given.
	Route ids.Name
	Left  time.Duration
	// Proxy carried it, and stands in By.
	Proxy string
	By    ids.Name
}

// Got is one answer, or the lack of one, at a stand-in consumer.
type Got struct {
	Sent, At time.Time
	Token    string
	Mark     string
	Attempt  int
	Class    string
	Status   int
	Body     string
	Proxy    string
	Cell     ids.Name
	Problem  string
	// Loose: no answer is owed, as when its route comes and goes.
	Loose bool
	// Held: it came down a connection that its consumer held, asking nobody.
	Held bool
}

// Truth is what the stand-ins saw. Nothing in it comes from the daemons.
type Truth struct {
	mu      sync.Mutex
	ran     []Ran
	got     []Got
	floods  []string
	wrong   []string
	emptied []Emptied
	healed  time.Time
	books   Books
	moves   moves
	closed  []Closed
	// known counts targets that the core came to know as leaving or gone.
	known int
	// Allowed is the policy's small allowance of retries.
	Allowed float64
	// Calm: no fault of the run excuses a held connection that gets no answer.
	Calm bool
}

// Run writes an execution down.
func (t *Truth) Run(r Ran) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ran = append(t.ran, r)
}

// Respond writes an answer down.
func (t *Truth) Respond(g Got) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.got = append(t.got, g)
}

// Parted notes that the core came to know a target as leaving or gone.
func (t *Truth) Parted() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.known++
}

// Flood notes a target that had more at once than it can bear.
func (t *Truth) Flood(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.floods = append(t.floods, fmt.Sprintf(format, args...))
}

// Wrong notes a broken promise that was seen as it happened.
func (t *Truth) Wrong(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.wrongly(format, args...)
}

func (t *Truth) wrongly(format string, args ...any) {
	t.wrong = append(t.wrong, fmt.Sprintf(format, args...))
}

// Count is one line of the verdict.
type Count struct {
	What   string
	Count  int
	Sample string
	// Judged is how often there was anything to judge: a count of none in a
	// run that brought nothing about proves nothing, and says so.
	Judged int
	// More holds further samples, a few dozen at most.
	More []string
}

// Verdict counts each "never", from what was seen.
func (t *Truth) Verdict() []Count {
	t.mu.Lock()
	defer t.mu.Unlock()
	runs := map[string][]Ran{}
	for _, r := range t.ran {
		if r.Mark != "" {
			runs[r.Mark] = append(runs[r.Mark], r)
		}
	}
	double := Count{What: "unrepeatable request run twice"}
	double.Judged = len(runs)
	for m, list := range runs {
		if len(list) > 1 {
			double.add(fmt.Sprintf("%s ran %d times, at %s and %s", m, len(list), list[0].Instance, list[1].Instance))
		}
	}
	busy := Count{What: "\"busy\" for what ran"}
	foreign := Count{What: "answer not the target's own"}
	changed := Count{What: "repeat got another outcome"}
	first := map[string]string{}
	for _, g := range t.got {
		switch g.Class {
		case "declined":
			busy.Judged++
			for _, r := range runs[g.Mark] {
				// A late attempt without a number can't be told from a fresh one:
				// only what ran before the answer counts against it.
				if r.Attempt <= g.Attempt && g.Mark != "" && (!r.Untold || r.At.Before(g.At)) {
					busy.add(fmt.Sprintf("%s attempt %d declined by %s, but ran as attempt %d", g.Mark, g.Attempt, g.Proxy, r.Attempt))
				}
			}
		case "answered":
			foreign.Judged++
			if g.Problem != "" {
				foreign.add(g.Token + ": " + g.Problem)
			}
			if g.Mark != "" {
				if b, ok := first[g.Mark]; ok {
					changed.Judged++
					if b != g.Body {
						changed.add(g.Mark)
					}
				}
				first[g.Mark] = g.Body
			}
		}
	}
	late := Count{What: "request to a target known gone or leaving for 3 s", Judged: t.known}
	for _, r := range t.ran {
		if r.After > 3*time.Second {
			late.add(fmt.Sprintf("%s got %s through %s when that was known for %s", r.Instance, r.Token, r.Proxy, r.After))
		}
	}
	flood := Count{What: "target flooded past 1.5 times", Judged: len(t.ran)}
	for _, f := range t.floods {
		flood.add(f)
	}
	seen := Count{What: "seen as it happened", Judged: t.books.reads + len(t.books.list)}
	for _, w := range t.wrong {
		seen.add(w)
	}
	return []Count{double, busy, foreign, changed, late, t.late(), t.inForce(), flood, t.retries(), t.live(), t.tiers(), t.nearest(), t.homeFirst(), t.restored(), seen}
}

func (c *Count) add(sample string) {
	c.Count++
	if c.Sample == "" {
		c.Sample = sample
	}
	if len(c.More) < mostSamples {
		c.More = append(c.More, sample)
	}
}

const mostSamples = 40
