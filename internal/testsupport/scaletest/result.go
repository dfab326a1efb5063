package scaletest

import (
	"slices"
	"time"
)

// Run is the result of one size.
type Run struct {
	Size Size `json:"size"`
	// Thrifty: the fleet ran with incremental target tables, slots by zone and
	// endless leases.
	Thrifty bool    `json:"thrifty"`
	Phases  []Phase `json:"phases"`
	// Stopped is why the run ended before its last phase; empty if it didn't.
	Stopped string `json:"stopped,omitempty"`
	// ConfigurationBytes and Items are the size of the accepted changes of the
	// policy phase.
	ConfigurationBytes int `json:"policy_bytes"`
	Items              int `json:"policy_items"`
	// Cores is how many processors the machine has, Threads how many of them one
	// process may use: see saturated.
	Cores   int `json:"cores"`
	Threads int `json:"threads"`
	// LoadAverage is the machine's at the end, of this fleet and of all else.
	LoadAverage float64 `json:"load"`
	// Changes is how many changes the change phase makes.
	Changes int `json:"changes"`
}

// CompletedPhase returns the phase of a name; false if it didn't complete.
func (r Run) CompletedPhase(name string) (Phase, bool) {
	for _, p := range r.Phases {
		if p.Name == name && p.Completed {
			return p, true
		}
	}
	return Phase{}, false
}

// Phase is the result of one phase of a run.
type Phase struct {
	Name      string  `json:"name"`
	Seconds   float64 `json:"took_s"`
	Completed bool    `json:"done"`
	// Note is one line on what happened, for a reader.
	Note   string  `json:"note,omitempty"`
	Lag    Lag     `json:"lag"`
	Usages []Usage `json:"spends"`
}

// UsageOf returns a role's usage; false if it wasn't measured.
func (p Phase) UsageOf(role string) (Usage, bool) {
	for _, u := range p.Usages {
		if u.Role == role {
			return u, true
		}
	}
	return Usage{}, false
}

// Lag is how long after an event proxies reached the state it asks for, in ms.
type Lag struct {
	P50 float64 `json:"p50_ms"`
	P99 float64 `json:"p99_ms"`
	Max float64 `json:"max_ms"`
}

// newLag computes the percentiles of durations; zero for none.
func newLag(durations []time.Duration) Lag {
	if len(durations) == 0 {
		return Lag{}
	}
	sorted := slices.Sorted(slices.Values(durations))
	percentile := func(share float64) float64 {
		index := min(int(share*float64(len(sorted))), len(sorted)-1)
		return float64(sorted[index].Microseconds()) / 1000
	}
	return Lag{P50: percentile(0.5), P99: percentile(0.99), Max: percentile(1)}
}
