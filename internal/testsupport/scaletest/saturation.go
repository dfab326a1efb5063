package scaletest

import (
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/dataplane/proxy"
	"dunlinwell/internal/transport/wire"
)

// saturationThreshold is the share of the machine's CPUs, or of the threads of one process, above
// which a phase counts as saturated.
const saturationThreshold = 0.85

// maxSuspicionsPerSecond is the maximum rate of lease requests and suspicions per proxy in a stable
// fleet.
const maxSuspicionsPerSecond = 0.05

// SuspicionsPerSecond returns the mean rate of lease requests and suspicions per proxy. A fleet that
// sends them continuously is overloaded: live peers respond too late, and each suspicion adds load.
func (p Phase) SuspicionsPerSecond() float64 {
	leaseRequest := wire.KindOfMessage(proxy.LeaseRequest{}).Name()
	suspect := wire.KindOfMessage(membership.Suspect{}).Name()
	usage, _ := p.UsageOf(proxyRole)
	sum := 0.0
	for _, k := range usage.Kinds {
		if k.Kind == leaseRequest || k.Kind == suspect {
			sum += k.MessagesPerSecond
		}
	}
	return sum
}

// isStable reports whether proxies sent almost no suspicions. Only the steady and change phases can
// be unstable, because the other phases start or kill daemons.
func (p Phase) isStable() bool {
	return p.Name != steadyPhase && p.Name != changePhase || p.SuspicionsPerSecond() <= maxSuspicionsPerSecond
}

// saturated reports whether the machine, a process or a connection's queue was saturated in a phase,
// or the fleet was unstable, so that the phase doesn't show the cost of the fleet.
func saturated(r Run, p Phase) bool {
	if !p.isStable() {
		return true
	}
	totalCPU := 0.0
	for _, u := range p.Usages {
		totalCPU += u.CPUPercent * float64(u.Daemons)
		if u.LostMessages > 0 || u.BusiestProcessCPUPercent > saturationThreshold*100*float64(r.Threads) {
			return true
		}
	}
	return totalCPU > saturationThreshold*100*float64(r.Cores)
}
