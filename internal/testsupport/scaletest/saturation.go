package scaletest

import (
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/dataplane/proxy"
	"dunlinwell/internal/transport/wire"
)

// saturationThreshold is the share of the machine's cores, or of the threads that
// one process may use, above which a run measures the machine and not the fleet.
const saturationThreshold = 0.85

// maxSuspicionsPerSecond is how many suspicions a proxy may send in a second
// while its fleet still counts as at rest.
const maxSuspicionsPerSecond = 0.05

// SuspicionsPerSecond is how many lease requests and suspicions each proxy sent
// in a second. A fleet that sends them continuously doesn't keep up: live peers
// answer too late, and each suspicion adds to the load.
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

// isStable tells whether a fleet that should be at rest suspects nobody; other
// phases break something, so that suspicions are due.
func (p Phase) isStable() bool {
	return p.Name != steadyPhase && p.Name != changePhase || p.SuspicionsPerSecond() <= maxSuspicionsPerSecond
}

// saturated tells whether a phase measured a saturated machine or a fleet that
// doesn't keep up, and so not what a fleet costs.
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
