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
	// CPU is in percent of a core; Memory and Peak in MB, the program's own
	// share divided among the daemons of a process.
	CPU    float64 `json:"cpu_percent"`
	Memory float64 `json:"memory_mb"`
	Peak   float64 `json:"peak_mb"`
	Files  float64 `json:"descriptors"`
	// Sent and Received are in bytes a second; Lost are frames that a full line
	// had no room for.
	Sent     float64 `json:"sent_bytes_per_s"`
	Received float64 `json:"received_bytes_per_s"`
	Messages float64 `json:"sent_messages_per_s"`
	Lost     float64 `json:"lost_messages"`
	Syncs    float64 `json:"syncs_per_s"`
	Kinds    []Kind  `json:"kinds"`
	// Busiest is the CPU of the process that used most, in percent of a core.
	Busiest float64 `json:"busiest_process_cpu_percent"`
}

// Kind is what one daemon of a role sent of one kind.
type Kind struct {
	Kind     string  `json:"kind"`
	Messages float64 `json:"messages_per_s"`
	Bytes    float64 `json:"bytes_per_s"`
	Size     float64 `json:"bytes_each"`
}

// Control is both ways together, as the budget counts it.
func (s Usage) Control() float64 { return s.Sent + s.Received }

// between works out what a role spent from one reading to the next. A process
// that began anew meanwhile is counted from its start.
func between(role string, a, b *measurement) Usage {
	s := Usage{Role: role, Seconds: b.at.Sub(a.at).Seconds()}
	sent := map[string]flow{}
	for name, now := range b.procs {
		was := a.procs[name]
		if was == nil || was.pid != now.pid {
			was = &processUsage{}
		}
		cpu := 100 * (now.cpu - was.cpu) / s.Seconds
		s.Busiest = max(s.Busiest, cpu)
		s.CPU += cpu
		s.Daemons += now.daemons
		s.Memory += now.resident / 1e6
		s.Peak += now.peak / 1e6
		s.Files += float64(now.files)
		s.Syncs += (now.syncs - was.syncs) / s.Seconds
		for k, f := range now.flows {
			messages, bytes := f.messages-was.flows[k].messages, (f.bytes-was.flows[k].bytes)/s.Seconds
			switch k.way {
			case "received":
				s.Received += bytes
			case "lost":
				s.Lost += messages
			case "sent":
				s.Sent += bytes
				s.Messages += messages / s.Seconds
				have := sent[k.kind]
				sent[k.kind] = flow{have.messages + messages/s.Seconds, have.bytes + bytes}
			}
		}
	}
	n := float64(max(s.Daemons, 1))
	for _, v := range []*float64{&s.CPU, &s.Memory, &s.Peak, &s.Files, &s.Syncs, &s.Received, &s.Sent, &s.Messages} {
		*v /= n
	}
	for kind, f := range sent {
		if f.messages > 0 {
			s.Kinds = append(s.Kinds, Kind{kind, f.messages / n, f.bytes / n, f.bytes / f.messages})
		}
	}
	slices.SortFunc(s.Kinds, func(a, b Kind) int { return cmp.Or(-cmp.Compare(a.Bytes, b.Bytes), cmp.Compare(a.Kind, b.Kind)) })
	return s
}

// Lag is how long after an event proxies stood as they should, in ms.
type Lag struct {
	P50 float64 `json:"p50_ms"`
	P99 float64 `json:"p99_ms"`
	Max float64 `json:"max_ms"`
}

// lagOf sums up spans.
func lagOf(list []time.Duration) Lag {
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
	Name   string  `json:"name"`
	Took   float64 `json:"took_s"`
	Done   bool    `json:"done"`
	Note   string  `json:"note,omitempty"`
	Lag    Lag     `json:"lag"`
	Usages []Usage `json:"spends"`
}

// Run is one size's run.
type Run struct {
	Size    Size    `json:"size"`
	Thrifty bool    `json:"thrifty"`
	Phases  []Phase `json:"phases"`
	// Stopped says why the run ended early.
	Stopped string `json:"stopped,omitempty"`
	// Configuration is how many bytes of changes were accepted, of how many items.
	Configuration int `json:"policy_bytes"`
	Items         int `json:"policy_items"`
	// Cores is how many processors the machine has: a run that used most of
	// them measures the machine rather than the fleet.
	Cores int `json:"cores"`
	// Threads is how many of them one process may use.
	Threads int `json:"threads"`
	// Load is the machine's load average at the end, this fleet's and others'.
	Load float64 `json:"load"`
	// Changes is how many the phase of changes made.
	Changes int `json:"changes"`
}

// Phase finds a phase that was done.
func (r Run) Phase(name string) (Phase, bool) {
	for _, p := range r.Phases {
		if p.Name == name && p.Done {
			return p, true
		}
	}
	return Phase{}, false
}

// Of finds a role's spend.
func (p Phase) Of(role string) (Usage, bool) {
	for _, s := range p.Usages {
		if s.Role == role {
			return s, true
		}
	}
	return Usage{}, false
}
