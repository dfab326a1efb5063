package simulator

import (
	"time"

	"dunlinwell/internal/controlplane/membership"
)

// longPartition is the duration of long partitions of core machines.
const longPartition = 20 * time.Second

// networkFaults are the faults of links and connections.
var networkFaults = []faultKind{
	{"process partitioned", 2, func(w *World) { w.partitionProcess(w.randomProcess(0), w.faultDuration(), w.randomPartitionStyle()) }},
	{"core machine partitioned for 20 s", 1, func(w *World) {
		m := w.machineOf(w.randomProcess(membership.Store))
		w.partitionMachine(m, longPartition, w.randomPartitionStyle())
		// Sometimes the seeds are changed to list this machine first, and a proxy restarts with
		// them.
		if w.random.IntN(3) == 0 {
			w.changeSeeds(m)
			w.schedule(w.randomDuration(time.Second, 8*time.Second), func() { w.restartProcess(w.randomProcess(membership.Proxy), 300*millisecond) })
		}
	}},
	{"fleet split", 1, func(w *World) { w.splitFleet(w.faultDuration()) }},
	{"messages lost, duplicated and delayed", 1, func(w *World) {
		w.network = networkConditions{loss: 0.05, duplication: 0.1, jitter: 40 * time.Millisecond}
		w.schedule(w.faultDuration(), func() { w.network = networkConditions{jitter: time.Millisecond} })
	}},
	{"connections reset", 2, func(w *World) {
		share, each := 0.1+0.9*w.random.Float64(), 0.3+0.7*w.random.Float64()
		for _, p := range w.remainingProcesses(0) {
			if w.random.Float64() < share {
				w.resetConnections(p.name, each)
			}
		}
	}},
	{"connections of the core reset", 1, func(w *World) {
		for _, p := range w.coreProcesses() {
			w.resetConnections(p.name, 0.3+0.7*w.random.Float64())
		}
	}},
	{"responses to operators lost", 1, func(w *World) {
		w.operatorResponseLoss = 0.5 + 0.4*w.random.Float64()
		w.schedule(w.randomDuration(2*time.Second, 10*time.Second), func() { w.operatorResponseLoss = 0 })
	}},
}

// randomPartitionStyle draws the style of a partition.
func (w *World) randomPartitionStyle() partitionStyle {
	switch w.random.IntN(6) {
	case 0, 1:
		return partitionStyle{oneWay: true}
	case 2:
		return partitionStyle{reset: true}
	case 3:
		return partitionStyle{reset: true, refuse: true}
	}
	return partitionStyle{}
}
