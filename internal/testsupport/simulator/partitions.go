package simulator

import (
	"slices"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
)

// partitionStyle is how a partition affects messages and connections across it.
type partitionStyle struct {
	// oneWay drops only messages from side A.
	oneWay bool
	// reset resets the connections across the partition when it begins.
	reset bool
	// refuse makes new connections fail at once instead of timing out.
	refuse bool
}

// networkSide reports whether an endpoint, given by name and zone, is on one side of a partition.
type networkSide func(name string, zone ids.Name) bool

// processSide returns the side that contains only the given processes.
func processSide(processes ...*process) networkSide {
	return func(name string, _ ids.Name) bool {
		return slices.ContainsFunc(processes, func(p *process) bool { return p.name == name })
	}
}

// outside returns the complement of a side.
func (s networkSide) outside() networkSide {
	return func(name string, zone ids.Name) bool { return !s(name, zone) }
}

// coreSide is a networkSide that contains all stores and registries.
func (w *World) coreSide(name string, _ ids.Name) bool {
	p := w.processByName(name)
	return p != nil && p.role != membership.Proxy
}

// partition drops messages between its two sides.
type partition struct {
	sideA, sideB networkSide
	partitionStyle
}

// crosses reports whether the partition drops a message.
func (p *partition) crosses(from string, fromZone ids.Name, to string, toZone ids.Name) bool {
	return p.sideA(from, fromZone) && p.sideB(to, toZone) || !p.oneWay && p.sideB(from, fromZone) && p.sideA(to, toZone)
}

// addPartition partitions the network for a duration.
func (w *World) addPartition(d time.Duration, p *partition) {
	w.partitions = append(w.partitions, p)
	if p.reset {
		w.resetAcross(p)
	}
	w.schedule(d, func() { w.removePartition(p) })
}

// removePartition ends a partition if it has not ended.
func (w *World) removePartition(p *partition) {
	for i, x := range w.partitions {
		if x == p {
			w.partitions = append(w.partitions[:i], w.partitions[i+1:]...)
			return
		}
	}
}

// partitionProcess partitions a process from everything else.
func (w *World) partitionProcess(p *process, d time.Duration, style partitionStyle) {
	w.trace("%s is partitioned: %+v", p.name, style)
	isolated := processSide(p)
	w.addPartition(d, &partition{sideA: isolated, sideB: isolated.outside(), partitionStyle: style})
}

// partitionMachine partitions a core machine from the other core machines. Proxies, targets and
// operators still reach it.
func (w *World) partitionMachine(machine []*process, d time.Duration, style partitionStyle) {
	for _, p := range machine {
		w.trace("%s is partitioned from the other core machines: %+v", p.name, style)
	}
	isolated := processSide(machine...)
	others := func(name string, zone ids.Name) bool { return !isolated(name, zone) && w.coreSide(name, zone) }
	w.addPartition(d, &partition{sideA: isolated, sideB: others, partitionStyle: style})
}

// splitFleet partitions the processes into two random sides.
func (w *World) splitFleet(d time.Duration) {
	side := map[string]bool{}
	for _, p := range w.processes {
		side[p.name] = w.random.IntN(2) == 0
	}
	w.trace("the fleet is split into two sides")
	w.addPartition(d, &partition{
		sideA:          func(name string, _ ids.Name) bool { s, ok := side[name]; return ok && s },
		sideB:          func(name string, _ ids.Name) bool { s, ok := side[name]; return ok && !s },
		partitionStyle: partitionStyle{oneWay: w.random.IntN(3) == 0},
	})
}

// partitionTarget partitions a target from the core, which will declare it dead, while proxies
// still reach it. A proxy, if given, is partitioned from the core as well.
func (w *World) partitionTarget(t *target, proxy *process, d time.Duration) {
	w.trace("%s is partitioned from the core", t.id)
	w.Checker.TargetDepartureKnown()
	isolated := func(name string, _ ids.Name) bool { return name == string(t.id) || proxy != nil && name == proxy.name }
	w.addPartition(d, &partition{sideA: isolated, sideB: w.coreSide})
}

// refusesConnection reports whether a new connection is refused by a partition that rejects packets
// instead of dropping them.
func (w *World) refusesConnection(from string, fromZone ids.Name, to string, toZone ids.Name) bool {
	for _, p := range w.partitions {
		if p.refuse && (p.crosses(from, fromZone, to, toZone) || p.crosses(to, toZone, from, fromZone)) {
			return true
		}
	}
	return false
}

// partitioned reports whether a partition drops messages from one process to another.
func (w *World) partitioned(from, to *process) bool {
	for _, p := range w.partitions {
		if p.crosses(from.name, from.zone, to.name, to.zone) {
			return true
		}
	}
	return false
}
