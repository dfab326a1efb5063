package simulator

import (
	"time"

	"dunlinwell/internal/controlplane/membership"
)

// addressReusedDuringPartition reassigns addresses of targets while a proxy is partitioned from the
// core.
func addressReusedDuringPartition(w *World) {
	w.repeat(3*time.Second, 8*time.Second, 4, func(i int) {
		p := w.randomProcess(membership.Proxy)
		w.trace("%s is partitioned from the core", p.name)
		w.addPartition(6*time.Second, &partition{sideA: processSide(p), sideB: w.coreSide})
		w.schedule(500*time.Millisecond, func() { w.reassignAddress(w.targets[i%len(w.targets)], 3*time.Second) })
	})
}

// responsesLost makes every target lose a share of its responses.
func responsesLost(w *World) {
	for _, t := range w.targets {
		t.lostResponseShare, t.corruptResponseShare = 0.2, 0.1
	}
}

// clientsDisconnect makes half of the clients disconnect during their requests, while responses are
// lost, targets freeze and proxies are restarted.
func clientsDisconnect(w *World) {
	w.clients.disconnectShare = 0.5
	w.schedule(time.Duration(w.faultsEnd()-w.now), func() { w.clients.disconnectShare = 0 })
	for _, t := range w.targets {
		t.lostResponseShare = 0.1
	}
	w.repeat(3*time.Second, 4*time.Second, 9, func(i int) { w.targets[i%len(w.targets)].freeze(2 * time.Second) })
	w.repeat(5*time.Second, 9*time.Second, 4, func(int) { w.restartProcess(w.randomProcess(membership.Proxy), 500*time.Millisecond) })
}

// targetsDrained drains, stops and restarts one target after the other.
func targetsDrained(w *World) {
	for i, t := range w.targets {
		w.schedule(2*time.Second+time.Duration(i)*4*time.Second, func() {
			t.drain()
			w.schedule(5*time.Second, func() { t.crash() })
			w.schedule(7*time.Second, func() { w.restartTarget(t) })
		})
	}
}

// declaredDeadButRunning partitions targets and a proxy from the core, which declares the targets
// dead while the proxy still reaches them.
func declaredDeadButRunning(w *World) {
	w.ConnectionLifetime = 20 * time.Second
	w.repeat(2*time.Second, 6*time.Second, 7, func(int) {
		p := w.randomProcess(membership.Proxy)
		for _, t := range w.targets {
			if t.zone == p.zone {
				w.partitionTarget(t, p, 11*time.Second)
			}
		}
	})
}

// departureThroughKilledRegistry makes a target announce that it is draining to a registry that is
// killed right after and can't reach one of the proxies. The target is then partitioned from the
// core.
func departureThroughKilledRegistry(w *World) {
	w.repeat(2*time.Second, 6*time.Second, 7, func(i int) {
		t, uninformed := w.targets[i%len(w.targets)], w.randomProcess(membership.Proxy)
		t.drain()
		via := t.lastRegistry
		if via == nil {
			return
		}
		w.addPartition(2*time.Second, &partition{sideA: processSide(via), sideB: processSide(uninformed)})
		w.schedule(60*millisecond, func() {
			w.restartProcess(via, 4*time.Second)
			w.partitionTarget(t, nil, 9*time.Second)
		})
		w.schedule(12*time.Second, func() { t.crash(); w.restartTarget(t) })
	})
}

// targetsFreeze freezes one target after the other.
func targetsFreeze(w *World) {
	w.repeat(2*time.Second, 1500*millisecond, 28, func(i int) {
		w.targets[i%len(w.targets)].freeze(w.randomDuration(time.Second, 9*time.Second))
	})
}
