package testbed

import "time"

// impairmentGrace is the time after a fault during which closed connections are still
// attributed to it, as a client notices only when it sends its next request.
const impairmentGrace = 10 * time.Second

// MarkImpaired records that a fault may close connections to a process until the given
// time. It must be called before the fault is injected.
func (f *Fleet) MarkImpaired(p *Process, until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.impairedUntil == nil {
		f.impairedUntil = map[string]time.Time{}
	}
	if until.After(f.impairedUntil[p.HTTP]) {
		f.impairedUntil[p.HTTP] = until
	}
}

// IsImpaired reports whether a fault may have closed a connection to the process with
// the given HTTP address.
func (f *Fleet) IsImpaired(httpAddress string, at time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return at.Before(f.impairedUntil[httpAddress])
}

// markAllImpaired marks the processes that a step of a script affects.
func (tb *Testbed) markAllImpaired(processes []*Process, step Step) {
	for _, p := range processes {
		tb.MarkImpaired(p, time.Now().Add(time.Duration(step.For)+impairmentGrace))
	}
}
