package simulator

import (
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
)

// oneWayPartitions cuts processes off in one direction, in turn.
func oneWayPartitions(w *World) {
	w.repeat(2*time.Second, 3*time.Second, 12, func(i int) {
		p := w.processes[i%len(w.processes)]
		w.trace("%s is cut off one way", p.name)
		in := processSide(p)
		out := in.outside()
		c := &partition{sideA: in, sideB: out, partitionStyle: partitionStyle{oneWay: true}}
		if i%2 == 0 {
			c.sideA, c.sideB = out, in
		}
		w.addPartition(4*time.Second, c)
	})
}

// zoneDrainedDuringPartition drains zones while the fleet is split.
func zoneDrainedDuringPartition(w *World) {
	w.repeat(3*time.Second, 16*time.Second, 3, func(int) {
		w.splitFleet(11 * time.Second)
		w.schedule(time.Second, func() { w.drainZone() })
	})
}

// configurationMovedDuringPartition moves a route while the fleet is split again and again.
func configurationMovedDuringPartition(w *World) {
	w.repeat(3*time.Second, 11*time.Second, 4, func(int) { w.splitFleet(7 * time.Second) })
	w.repeat(time.Second, 900*millisecond, 50, func(i int) { w.flipRoute(5000 + i) })
}

// proxiesPartitionedDuringChange cuts all proxies off from the core while a change is accepted: they must stop
// what they can't confirm.
func proxiesPartitionedDuringChange(w *World) {
	w.repeat(3*time.Second, 14*time.Second, 3, func(i int) {
		w.trace("the proxies are cut off from the core")
		proxies := func(name string, _ ids.Name) bool {
			p := w.processByName(name)
			return p != nil && p.role == membership.Proxy
		}
		w.addPartition(8*time.Second, &partition{sideA: proxies, sideB: w.coreSide})
		w.schedule(500*millisecond, func() { w.drainZone(); w.flipRoute(6000 + i) })
	})
}
