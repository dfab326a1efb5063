package scaletest

import (
	"cmp"
	"slices"
)

// Usage is what one daemon of a role used in a phase, on average over the
// role's daemons. A process's own memory is divided among its daemons.
type Usage struct {
	Role string `json:"role"`
	// Daemons is how many daemons the averages are taken over.
	Daemons int     `json:"daemons"`
	Seconds float64 `json:"seconds"`
	// CPUPercent is in percent of one core; MemoryMB and PeakMB are the resident
	// set and its peak, in 10⁶ bytes.
	CPUPercent  float64 `json:"cpu_percent"`
	MemoryMB    float64 `json:"memory_mb"`
	PeakMB      float64 `json:"peak_mb"`
	Descriptors float64 `json:"descriptors"`
	// SentBytesPerSecond and ReceivedBytesPerSecond count frames of the wire protocol.
	SentBytesPerSecond     float64 `json:"sent_bytes_per_s"`
	ReceivedBytesPerSecond float64 `json:"received_bytes_per_s"`
	SentMessagesPerSecond  float64 `json:"sent_messages_per_s"`
	// LostMessages were dropped because a connection's queue was full; it is the
	// sum over all daemons of the role.
	LostMessages   float64 `json:"lost_messages"`
	SyncsPerSecond float64 `json:"syncs_per_s"`
	// Kinds are sorted by bytes, the most first.
	Kinds []KindTraffic `json:"kinds"`
	// BusiestProcessCPUPercent is the most that a process of the role used, in
	// percent of one core.
	BusiestProcessCPUPercent float64 `json:"busiest_process_cpu_percent"`
}

// KindTraffic is what one daemon of a role sent of one message kind.
type KindTraffic struct {
	// Kind is the name of the message's type, such as "membership.Suspect".
	Kind              string  `json:"kind"`
	MessagesPerSecond float64 `json:"messages_per_s"`
	BytesPerSecond    float64 `json:"bytes_per_s"`
	BytesPerMessage   float64 `json:"bytes_each"`
}

// ControlBytesPerSecond is the traffic of both directions, as the budget counts it.
func (u Usage) ControlBytesPerSecond() float64 {
	return u.SentBytesPerSecond + u.ReceivedBytesPerSecond
}

// usageBetween computes what a role used from one measurement to the next. A
// process that was restarted in between is counted from its start.
func usageBetween(role string, before, after *measurement) Usage {
	usage := Usage{Role: role, Seconds: after.at.Sub(before.at).Seconds()}
	sent := map[string]traffic{}
	for name, current := range after.processes {
		previous := before.processes[name]
		if previous == nil || previous.pid != current.pid {
			previous = &processUsage{}
		}
		usage.addProcess(previous, current)
		usage.addTraffic(previous, current, sent)
	}
	daemons := float64(max(usage.Daemons, 1))
	for _, total := range []*float64{
		&usage.CPUPercent, &usage.MemoryMB, &usage.PeakMB, &usage.Descriptors, &usage.SyncsPerSecond,
		&usage.ReceivedBytesPerSecond, &usage.SentBytesPerSecond, &usage.SentMessagesPerSecond,
	} {
		*total /= daemons
	}
	for kind, t := range sent {
		if t.messages > 0 {
			usage.Kinds = append(usage.Kinds, KindTraffic{kind, t.messages / daemons, t.bytes / daemons, t.bytes / t.messages})
		}
	}
	slices.SortFunc(usage.Kinds, func(a, b KindTraffic) int {
		return cmp.Or(-cmp.Compare(a.BytesPerSecond, b.BytesPerSecond), cmp.Compare(a.Kind, b.Kind))
	})
	return usage
}

// addProcess adds what the kernel counted for one process.
func (u *Usage) addProcess(previous, current *processUsage) {
	cpuPercent := 100 * (current.cpuSeconds - previous.cpuSeconds) / u.Seconds
	u.BusiestProcessCPUPercent = max(u.BusiestProcessCPUPercent, cpuPercent)
	u.CPUPercent += cpuPercent
	u.Daemons += current.daemons
	u.MemoryMB += current.residentBytes / 1e6
	u.PeakMB += current.peakBytes / 1e6
	u.Descriptors += float64(current.descriptors)
	u.SyncsPerSecond += (current.syncs - previous.syncs) / u.Seconds
}

// addTraffic adds one process's frames, those sent by kind as well.
func (u *Usage) addTraffic(previous, current *processUsage, sentByKind map[string]traffic) {
	for k, t := range current.traffic {
		messages, bytesPerSecond := t.messages-previous.traffic[k].messages, (t.bytes-previous.traffic[k].bytes)/u.Seconds
		switch k.direction {
		case directionReceived:
			u.ReceivedBytesPerSecond += bytesPerSecond
		case directionLost:
			u.LostMessages += messages
		case directionSent:
			u.SentBytesPerSecond += bytesPerSecond
			u.SentMessagesPerSecond += messages / u.Seconds
			total := sentByKind[k.kind]
			sentByKind[k.kind] = traffic{total.messages + messages/u.Seconds, total.bytes + bytesPerSecond}
		}
	}
}
