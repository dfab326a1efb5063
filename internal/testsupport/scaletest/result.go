package scaletest

import (
	"slices"
	"time"
)

// Run is the result of one size.
type Run struct {
	Size Size `json:"size"`
	// Thrifty is the option of the same name in Options.
	Thrifty bool    `json:"thrifty"`
	Phases  []Phase `json:"phases"`
	// Stopped is the reason why the run ended early; empty if all phases completed.
	Stopped string `json:"stopped,omitempty"`
	// ConfigurationBytes and Items are the size of the changes that were accepted in the policy
	// phase.
	ConfigurationBytes int `json:"policy_bytes"`
	Items              int `json:"policy_items"`
	// Cores is the number of CPUs of the machine, Threads the number that one process may use.
	Cores   int `json:"cores"`
	Threads int `json:"threads"`
	// LoadAverage is the load average of the machine at the end of the run. It includes other
	// programs.
	LoadAverage float64 `json:"load"`
	// Changes is the number of configuration changes in the change phase.
	Changes int `json:"changes"`
}

// CompletedPhase returns the phase with a name. It returns false if the phase didn't complete.
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
	// Note is a one-line summary for people.
	Note   string  `json:"note,omitempty"`
	Lag    Lag     `json:"lag"`
	Usages []Usage `json:"spends"`
}

// UsageOf returns the usage of a role. It returns false if the role wasn't measured.
func (p Phase) UsageOf(role string) (Usage, bool) {
	for _, u := range p.Usages {
		if u.Role == role {
			return u, true
		}
	}
	return Usage{}, false
}

// Lag has percentiles, over the proxies, of the delay between an event and the expected state, in
// ms.
type Lag struct {
	P50 float64 `json:"p50_ms"`
	P99 float64 `json:"p99_ms"`
	Max float64 `json:"max_ms"`
}

// newLag returns the percentiles of durations, or the zero Lag if there are none.
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
