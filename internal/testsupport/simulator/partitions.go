package simulator

import (
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
)

// partitionStyle is how a partition shows at its edges.
type partitionStyle struct {
	// oneWay: only messages from side A are lost.
	oneWay bool
	// reset: the connections across it are reset when it begins.
	reset bool
	// refuse: new connections are refused at once, in place of timing out.
	refuse bool
}

// partition keeps messages of one side from reaching the other.
type partition struct {
	sideA, sideB func(name string, zone ids.Name) bool
	partitionStyle
}

// crosses reports whether the partition stops a message.
func (p *partition) crosses(from string, fromZone ids.Name, to string, toZone ids.Name) bool {
	return p.sideA(from, fromZone) && p.sideB(to, toZone) || !p.oneWay && p.sideB(from, fromZone) && p.sideA(to, toZone)
}

// addPartition partitions the network for a time.
func (w *World) addPartition(d time.Duration, p *partition) {
	w.partitions = append(w.partitions, p)
	if p.reset {
		w.resetAcross(p)
	}
	w.schedule(d, func() { w.removePartition(p) })
}

// removePartition ends a partition early.
func (w *World) removePartition(p *partition) {
	for i, x := range w.partitions {
		if x == p {
			w.partitions = append(w.partitions[:i], w.partitions[i+1:]...)
			return
		}
	}
}

// partitionProcess cuts a process off from everything else.
func (w *World) partitionProcess(p *process, d time.Duration, style partitionStyle) {
	w.trace("%s is cut off: %+v", p.name, style)
	w.addPartition(d, &partition{
		sideA: func(name string, _ ids.Name) bool { return name == p.name },
		sideB: func(name string, _ ids.Name) bool { return name != p.name }, partitionStyle: style,
	})
}

// partitionMachine cuts a core machine off from the other core machines. Proxies, targets and
// operators still reach it.
func (w *World) partitionMachine(machine []*process, d time.Duration, style partitionStyle) {
	inside := map[string]bool{}
	for _, p := range machine {
		inside[p.name] = true
		w.trace("%s is cut off from the other core machines: %+v", p.name, style)
	}
	w.addPartition(d, &partition{
		sideA: func(name string, _ ids.Name) bool { return inside[name] },
		sideB: func(name string, _ ids.Name) bool { return !inside[name] && w.isCore(name) }, partitionStyle: style,
	})
}

// isCore reports whether a name is that of a store or registry.
func (w *World) isCore(name string) bool {
	p := w.processByName(name)
	return p != nil && p.role != membership.Proxy
}

// splitFleet partitions the processes at random into two halves.
func (w *World) splitFleet(d time.Duration) {
	side := map[string]bool{}
	for _, p := range w.processes {
		side[p.name] = w.random.IntN(2) == 0
	}
	w.trace("the fleet splits")
	w.addPartition(d, &partition{
		sideA:          func(name string, _ ids.Name) bool { s, ok := side[name]; return ok && s },
		sideB:          func(name string, _ ids.Name) bool { s, ok := side[name]; return ok && !s },
		partitionStyle: partitionStyle{oneWay: w.random.IntN(3) == 0},
	})
}

// partitionTarget cuts a target off from the core, which will declare it gone, while proxies still
// reach it. A proxy, if given, is cut off from the core as well.
func (w *World) partitionTarget(t *target, proxy *process, d time.Duration) {
	w.trace("%s is cut off from the core", t.id)
	w.Checker.NetworkPartitioned()
	isolated := func(name string, _ ids.Name) bool { return name == string(t.id) || proxy != nil && name == proxy.name }
	w.addPartition(d, &partition{sideA: isolated, sideB: func(name string, _ ids.Name) bool { return w.isCore(name) }})
}

// refusesConnection reports whether a new connection is refused at once, as at a partition that
// rejects packets in place of dropping them.
func (w *World) refusesConnection(from string, fromZone ids.Name, to string, toZone ids.Name) bool {
	for _, p := range w.partitions {
		if p.refuse && (p.crosses(from, fromZone, to, toZone) || p.crosses(to, toZone, from, fromZone)) {
			return true
		}
	}
	return false
}

// partitioned reports whether a partition stops messages from one process to another.
func (w *World) partitioned(from, to *process) bool {
	for _, p := range w.partitions {
		if p.crosses(from.name, from.zone, to.name, to.zone) {
			return true
		}
	}
	return false
}
