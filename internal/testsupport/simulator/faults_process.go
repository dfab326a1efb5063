package simulator

import (
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
)

// processFaults are the faults of processes, machines and their disks.
var processFaults = []faultKind{
	{"process killed", 2, func(w *World) { w.restartProcess(w.randomProcess(0), w.faultDuration()) }},
	{"all processes of a role killed", 1, func(w *World) {
		role := membership.Role(1 + w.random.IntN(3))
		w.restartAll(w.remainingProcesses(role), w.faultDuration)
	}},
	{"core loses power", 1, func(w *World) { w.restartAll(w.coreProcesses(), w.restartDuration) }},
	{"all lose power", 1, func(w *World) { w.restartAll(w.remainingProcesses(0), w.restartDuration) }},
	{"process frozen", 3, func(w *World) { w.randomProcess(0).freeze(w.randomDuration(500*millisecond, 6*time.Second)) }},
	{"proxy frozen", 1, func(w *World) { w.randomProcess(membership.Proxy).freeze(w.randomDuration(time.Second, 5*time.Second)) }},
	{"zone loses power", 1, func(w *World) { w.losePower(w.Plan.Zone(w.random.IntN(w.Plan.Zones)), w.faultDuration()) }},
	{"disk stalled", 1, func(w *World) {
		d := w.randomProcess(membership.Store).disk
		d.stalled = true
		w.schedule(w.faultDuration(), func() { d.stalled = false })
	}},
	{"disk slow", 1, func(w *World) {
		d := w.randomProcess(membership.Store).disk
		d.slowdown = slowDiskFactor
		w.schedule(w.randomDuration(2*time.Second, 8*time.Second), func() { d.slowdown = 0 })
	}},
}

// slowDiskFactor is the factor by which syncs of a slow disk take longer.
const slowDiskFactor = 30

// restartDuration draws how long a machine takes to restart after a loss of power.
func (w *World) restartDuration() time.Duration {
	return w.randomDuration(200*millisecond, 1500*millisecond)
}

// restartProcess kills a process and starts it after a delay. Records that were not synced are
// lost, as with a loss of power.
func (w *World) restartProcess(p *process, d time.Duration) {
	p.kill()
	w.schedule(d, func() {
		if !p.up && !p.removed {
			// The wall clock may jump in either direction during a restart.
			p.clockOffset += w.randomDuration(-10*time.Minute, 10*time.Minute)
			p.start()
		}
	})
}

// restartAll kills processes at the same time. Each starts after its own delay.
func (w *World) restartAll(list []*process, down func() time.Duration) {
	for _, p := range list {
		w.restartProcess(p, down())
	}
}

// losePower restarts all processes and targets of a zone, as after a loss of power.
func (w *World) losePower(zone ids.Name, d time.Duration) {
	w.trace("%s loses power", zone)
	for _, p := range w.remainingProcesses(0) {
		if p.zone == zone {
			w.restartProcess(p, d+w.randomDuration(0, time.Second))
		}
	}
	for _, t := range w.targets {
		if t.zone == zone && t.up {
			t.crash()
			w.schedule(d+w.randomDuration(0, time.Second), func() { w.restartTarget(t) })
		}
	}
}
