package simulator

import (
	"slices"
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

// networkSide tells which ends of messages, by name and zone, are on one side of a partition.
type networkSide func(name string, zone ids.Name) bool

// processSide is the side of the given processes alone.
func processSide(processes ...*process) networkSide {
	return func(name string, _ ids.Name) bool {
		return slices.ContainsFunc(processes, func(p *process) bool { return p.name == name })
	}
}

// outside is everything that is not on a side.
func (s networkSide) outside() networkSide {
	return func(name string, zone ids.Name) bool { return !s(name, zone) }
}

// coreSide is the side of all stores and registries.
func (w *World) coreSide(name string, _ ids.Name) bool {
	p := w.processByName(name)
	return p != nil && p.role != membership.Proxy
}

// partition keeps messages of one side from reaching the other.
type partition struct {
	sideA, sideB networkSide
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
	isolated := processSide(p)
	w.addPartition(d, &partition{sideA: isolated, sideB: isolated.outside(), partitionStyle: style})
}

// partitionMachine cuts a core machine off from the other core machines. Proxies, targets and
// operators still reach it.
func (w *World) partitionMachine(machine []*process, d time.Duration, style partitionStyle) {
	for _, p := range machine {
		w.trace("%s is cut off from the other core machines: %+v", p.name, style)
	}
	isolated := processSide(machine...)
	others := func(name string, zone ids.Name) bool { return !isolated(name, zone) && w.coreSide(name, zone) }
	w.addPartition(d, &partition{sideA: isolated, sideB: others, partitionStyle: style})
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
	w.Checker.TargetDepartureKnown()
	isolated := func(name string, _ ids.Name) bool { return name == string(t.id) || proxy != nil && name == proxy.name }
	w.addPartition(d, &partition{sideA: isolated, sideB: w.coreSide})
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
