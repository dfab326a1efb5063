package scaletest

import (
	"cmp"
	"slices"
)

// Usage is the mean usage of the daemons of a role in a phase. The usage of a process with several
// daemons is divided among them.
type Usage struct {
	Role string `json:"role"`
	// Daemons is the number of daemons of the role.
	Daemons int     `json:"daemons"`
	Seconds float64 `json:"seconds"`
	// CPUPercent is in percent of one core. MemoryMB and PeakMB are the resident set size and its
	// peak, in 10⁶ bytes.
	CPUPercent  float64 `json:"cpu_percent"`
	MemoryMB    float64 `json:"memory_mb"`
	PeakMB      float64 `json:"peak_mb"`
	Descriptors float64 `json:"descriptors"`
	// SentBytesPerSecond and ReceivedBytesPerSecond count frames of the wire protocol.
	SentBytesPerSecond     float64 `json:"sent_bytes_per_s"`
	ReceivedBytesPerSecond float64 `json:"received_bytes_per_s"`
	SentMessagesPerSecond  float64 `json:"sent_messages_per_s"`
	// LostMessages is the number of messages dropped because a connection's queue was full, summed
	// over all daemons of the role.
	LostMessages   float64 `json:"lost_messages"`
	SyncsPerSecond float64 `json:"syncs_per_s"`
	// Kinds is sorted by bytes in descending order.
	Kinds []KindTraffic `json:"kinds"`
	// BusiestProcessCPUPercent is the maximum over the processes of the role, in percent of one
	// core.
	BusiestProcessCPUPercent float64 `json:"busiest_process_cpu_percent"`
}

// KindTraffic is the mean traffic of one message kind sent by each daemon of a role.
type KindTraffic struct {
	// Kind is the name of the message's type, such as "membership.Suspect".
	Kind              string  `json:"kind"`
	MessagesPerSecond float64 `json:"messages_per_s"`
	BytesPerSecond    float64 `json:"bytes_per_s"`
	BytesPerMessage   float64 `json:"bytes_each"`
}

// ControlBytesPerSecond returns the traffic in both directions, to which the budget applies.
func (u Usage) ControlBytesPerSecond() float64 {
	return u.SentBytesPerSecond + u.ReceivedBytesPerSecond
}

// usageBetween returns the usage of a role between two measurements. A process that was restarted in
// between is measured from its start.
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

// addProcess adds the usage of one process, except for its traffic.
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

// addTraffic adds the traffic of one process, and the traffic that it sent to sentByKind.
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
