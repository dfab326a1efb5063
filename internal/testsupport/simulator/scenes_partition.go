package simulator

import (
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
)

// oneWayPartitions partitions one process after the other, in one direction.
func oneWayPartitions(w *World) {
	w.repeat(2*time.Second, 3*time.Second, 12, func(i int) {
		p := w.processes[i%len(w.processes)]
		w.trace("%s is partitioned one way", p.name)
		isolated := processSide(p)
		others := isolated.outside()
		c := &partition{sideA: isolated, sideB: others, partitionStyle: partitionStyle{oneWay: true}}
		if i%2 == 0 {
			c.sideA, c.sideB = others, isolated
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

// configurationMovedDuringPartition moves a route between services during repeated splits of the
// fleet.
func configurationMovedDuringPartition(w *World) {
	w.repeat(3*time.Second, 11*time.Second, 4, func(int) { w.splitFleet(7 * time.Second) })
	w.repeat(time.Second, 900*millisecond, 50, func(i int) { w.flipRoute(5000 + i) })
}

// proxiesPartitionedDuringChange partitions all proxies from the core while changes are accepted.
// Proxies must stop serving once their lease expires.
func proxiesPartitionedDuringChange(w *World) {
	w.repeat(3*time.Second, 14*time.Second, 3, func(i int) {
		w.trace("the proxies are partitioned from the core")
		proxies := func(name string, _ ids.Name) bool {
			p := w.processByName(name)
			return p != nil && p.role == membership.Proxy
		}
		w.addPartition(8*time.Second, &partition{sideA: proxies, sideB: w.coreSide})
		w.schedule(500*millisecond, func() { w.drainZone(); w.flipRoute(6000 + i) })
	})
}
