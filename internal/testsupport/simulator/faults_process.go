package simulator

import (
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/membership"
)

// processFaults are those of processes, machines and their disks.
var processFaults = []faultKind{
	{"process killed", 2, func(w *World) { w.bounce(w.some(0), w.short()) }},
	{"herd of a role killed", 1, func(w *World) {
		role := membership.Role(1 + w.random.IntN(3))
		w.herd(w.living(role), w.short)
	}},
	{"core loses power", 1, func(w *World) { w.herd(w.core(), w.restart) }},
	{"all lose power", 1, func(w *World) { w.herd(w.living(0), w.restart) }},
	{"process frozen", 3, func(w *World) { w.some(0).freeze(w.between(500*millisecond, 6*time.Second)) }},
	{"proxy frozen", 1, func(w *World) { w.some(membership.Proxy).freeze(w.between(time.Second, 5*time.Second)) }},
	{"zone loses power", 1, func(w *World) { w.losePower(w.Plan.Zone(w.random.IntN(w.Plan.Zones)), w.short()) }},
	{"disk stalled", 1, func(w *World) {
		d := w.some(membership.Store).disk
		d.stalled = true
		w.later(w.short(), func() { d.stalled = false })
	}},
	{"disk slow", 1, func(w *World) {
		d := w.some(membership.Store).disk
		d.slow = slowDisk
		w.later(w.between(2*time.Second, 8*time.Second), func() { d.slow = 0 })
	}},
}

// slowDisk is how many times as long a slow disk takes.
const slowDisk = 30

// restart draws how long it takes until machines that lost power at once run.
func (w *World) restart() time.Duration { return w.between(200*millisecond, 1500*millisecond) }

// bounce kills a process and starts it again after a while. What its disk had
// not synced is gone, as with a loss of power.
func (w *World) bounce(p *process, d time.Duration) {
	p.kill()
	w.later(d, func() {
		if !p.up && !p.lost {
			// Wall clocks jump, also backwards, between two starts.
			p.wall += w.between(-10*time.Minute, 10*time.Minute)
			p.boot()
		}
	})
}

// herd kills processes at one and the same moment.
func (w *World) herd(list []*process, down func() time.Duration) {
	for _, p := range list {
		w.bounce(p, down())
	}
}

// losePower takes the power from a whole zone, targets and all.
func (w *World) losePower(zone ids.Name, d time.Duration) {
	w.trace("%s loses power", zone)
	for _, p := range w.living(0) {
		if p.zone == zone {
			w.bounce(p, d+w.between(0, time.Second))
		}
	}
	for _, t := range w.targets {
		if t.zone == zone && t.up {
			t.crash()
			w.later(d+w.between(0, time.Second), func() { w.again(t) })
		}
	}
}
