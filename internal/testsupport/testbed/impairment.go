package testbed

import "time"

// impairmentGrace is how long after a fault connections may still be found closed:
// a client finds out only when it sends its next request.
const impairmentGrace = 10 * time.Second

// MarkImpaired notes that a fault explains the end of connections to a process
// until some time. It must be called before the fault.
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

// IsImpaired tells whether a fault explains the end of a connection to the
// process with this HTTP address.
func (f *Fleet) IsImpaired(httpAddress string, at time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return at.Before(f.impairedUntil[httpAddress])
}

// markAllImpaired marks the processes that a step of a script faults.
func (tb *Testbed) markAllImpaired(processes []*Process, step Step) {
	for _, p := range processes {
		tb.MarkImpaired(p, time.Now().Add(time.Duration(step.For)+impairmentGrace))
	}
}
