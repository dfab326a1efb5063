package scaletest

import (
	"cmp"
	"slices"
	"time"
)

// Usage is what one daemon of a role spent in a phase, on average.
type Usage struct {
	Role    string  `json:"role"`
	Daemons int     `json:"daemons"`
	Seconds float64 `json:"seconds"`
	// CPUPercent is in percent of a core; Memory and Peak in MB, the program's own
	// share divided among the daemons of a process.
	CPUPercent  float64 `json:"cpu_percent"`
	MemoryMB    float64 `json:"memory_mb"`
	PeakMB      float64 `json:"peak_mb"`
	Descriptors float64 `json:"descriptors"`
	// SentBytesPerSecond and Received are in bytes a second; Lost are frames that a full line
	// had no room for.
	SentBytesPerSecond     float64       `json:"sent_bytes_per_s"`
	ReceivedBytesPerSecond float64       `json:"received_bytes_per_s"`
	SentMessagesPerSecond  float64       `json:"sent_messages_per_s"`
	LostMessages           float64       `json:"lost_messages"`
	SyncsPerSecond         float64       `json:"syncs_per_s"`
	Kinds                  []KindTraffic `json:"kinds"`
	// BusiestProcessCPUPercent is the CPU of the process that used most, in percent of a core.
	BusiestProcessCPUPercent float64 `json:"busiest_process_cpu_percent"`
}

// KindTraffic is what one daemon of a role sent of one kind.
type KindTraffic struct {
	Kind              string  `json:"kind"`
	MessagesPerSecond float64 `json:"messages_per_s"`
	BytesPerSecond    float64 `json:"bytes_per_s"`
	BytesPerMessage   float64 `json:"bytes_each"`
}

// ControlBytesPerSecond is both ways together, as the budget counts it.
func (u Usage) ControlBytesPerSecond() float64 {
	return u.SentBytesPerSecond + u.ReceivedBytesPerSecond
}

// usageBetween works out what a role spent from one reading to the next. A process
// that began anew meanwhile is counted from its start.
func usageBetween(role string, before, after *measurement) Usage {
	usage := Usage{Role: role, Seconds: after.at.Sub(before.at).Seconds()}
	sent := map[string]traffic{}
	for name, now := range after.processes {
		was := before.processes[name]
		if was == nil || was.pid != now.pid {
			was = &processUsage{}
		}
		cpu := 100 * (now.cpuSeconds - was.cpuSeconds) / usage.Seconds
		usage.BusiestProcessCPUPercent = max(usage.BusiestProcessCPUPercent, cpu)
		usage.CPUPercent += cpu
		usage.Daemons += now.daemons
		usage.MemoryMB += now.residentBytes / 1e6
		usage.PeakMB += now.peakBytes / 1e6
		usage.Descriptors += float64(now.descriptors)
		usage.SyncsPerSecond += (now.syncs - was.syncs) / usage.Seconds
		for k, f := range now.traffic {
			messages, bytes := f.messages-was.traffic[k].messages, (f.bytes-was.traffic[k].bytes)/usage.Seconds
			switch k.direction {
			case "received":
				usage.ReceivedBytesPerSecond += bytes
			case "lost":
				usage.LostMessages += messages
			case "sent":
				usage.SentBytesPerSecond += bytes
				usage.SentMessagesPerSecond += messages / usage.Seconds
				have := sent[k.kind]
				sent[k.kind] = traffic{have.messages + messages/usage.Seconds, have.bytes + bytes}
			}
		}
	}
	n := float64(max(usage.Daemons, 1))
	for _, v := range []*float64{&usage.CPUPercent, &usage.MemoryMB, &usage.PeakMB, &usage.Descriptors, &usage.SyncsPerSecond, &usage.ReceivedBytesPerSecond, &usage.SentBytesPerSecond, &usage.SentMessagesPerSecond} {
		*v /= n
	}
	for kind, f := range sent {
		if f.messages > 0 {
			usage.Kinds = append(usage.Kinds, KindTraffic{kind, f.messages / n, f.bytes / n, f.bytes / f.messages})
		}
	}
	slices.SortFunc(usage.Kinds, func(before, after KindTraffic) int {
		return cmp.Or(-cmp.Compare(before.BytesPerSecond, after.BytesPerSecond), cmp.Compare(before.Kind, after.Kind))
	})
	return usage
}

// Lag is how long after an event proxies stood as they should, in ms.
type Lag struct {
	P50 float64 `json:"p50_ms"`
	P99 float64 `json:"p99_ms"`
	Max float64 `json:"max_ms"`
}

// newLag sums up spans.
func newLag(list []time.Duration) Lag {
	if len(list) == 0 {
		return Lag{}
	}
	list = slices.Sorted(slices.Values(list))
	at := func(share float64) float64 {
		return float64(list[min(int(share*float64(len(list))), len(list)-1)].Microseconds()) / 1000
	}
	return Lag{at(0.5), at(0.99), at(1)}
}

// Phase is one phase of a run.
type Phase struct {
	Name      string  `json:"name"`
	Seconds   float64 `json:"took_s"`
	Completed bool    `json:"done"`
	Note      string  `json:"note,omitempty"`
	Lag       Lag     `json:"lag"`
	Usages    []Usage `json:"spends"`
}

// Run is one size's run.
type Run struct {
	Size    Size    `json:"size"`
	Thrifty bool    `json:"thrifty"`
	Phases  []Phase `json:"phases"`
	// Stopped says why the run ended early.
	Stopped string `json:"stopped,omitempty"`
	// ConfigurationBytes is how many bytes of changes were accepted, of how many items.
	ConfigurationBytes int `json:"policy_bytes"`
	Items              int `json:"policy_items"`
	// Cores is how many processors the machine has: a run that used most of
	// them measures the machine rather than the fleet.
	Cores int `json:"cores"`
	// Threads is how many of them one process may use.
	Threads int `json:"threads"`
	// LoadAverage is the machine's load average at the end, this fleet's and others'.
	LoadAverage float64 `json:"load"`
	// Changes is how many the phase of changes made.
	Changes int `json:"changes"`
}

// CompletedPhase finds a phase that was done.
func (r Run) CompletedPhase(name string) (Phase, bool) {
	for _, p := range r.Phases {
		if p.Name == name && p.Completed {
			return p, true
		}
	}
	return Phase{}, false
}

// UsageOf finds a role's spend.
func (p Phase) UsageOf(role string) (Usage, bool) {
	for _, s := range p.Usages {
		if s.Role == role {
			return s, true
		}
	}
	return Usage{}, false
}
