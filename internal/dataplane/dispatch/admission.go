package dispatch

import (
	"slices"
	"time"

	"dunlinwell/internal/base/ids"
)

// freezeThreshold is the gap between ticks from which the process counts as frozen (not
// scheduled, or suspended; clients are told "paused"): what it knows may then be out of
// date, and a claim may have been granted long ago. The proxy has the same threshold for
// its control machine, whose lease ends by a freeze as well.
const freezeThreshold = time.Second

// isFrozenOrStale tells whether this process has been frozen since its last tick, or its
// service state isn't current. Nothing is forwarded then.
func (d *Dispatcher) isFrozenOrStale(now ids.Time) bool {
	return !d.service.IsCurrent || (d.lastTickAt != 0 && now.Sub(d.lastTickAt) > freezeThreshold)
}

// blockedReason returns why a job must not be forwarded now, or "". It is asked again
// before each step of a job, as all of it may change while the job waits.
func (d *Dispatcher) blockedReason(now ids.Time, j *job) string {
	switch {
	case j.clientDisconnected:
		return reasonClientDisconnected
	case d.isFrozenOrStale(now):
		return reasonNotCurrent
	case now >= d.leaseExpiresAt:
		// By a state that no majority has confirmed recently, the zone may have been
		// drained, the route removed, or the address given to another target.
		return reasonLeaseExpired
	case d.service.OwnZoneDrained:
		return reasonZoneDrained
	case d.service.RouteRules[j.Route] != j.RouteRules:
		return reasonRouteChanged
	}
	return ""
}

// admit gives a job a slot, or puts it into the queue. A job that can't be served in time
// is rejected at once and not when its deadline is near, so that its client can try
// again elsewhere.
func (d *Dispatcher) admit(now ids.Time, j *job) {
	if reason := d.blockedReason(now, j); reason != "" {
		d.reject(now, j, reason)
		return
	}
	d.enqueue(now, j)
	d.dispatchQueue(now)
	// It may hold a slot by now, or have been answered.
	if j.state == queued && d.jobs[j.ID] == j {
		d.limitQueue(now, j)
	}
}

// enqueue puts a job into the queue, at its place by urgency.
func (d *Dispatcher) enqueue(now ids.Time, j *job) {
	j.state = queued
	// A job that returns from a target keeps the time of its first wait.
	if j.queuedAt == 0 {
		j.queuedAt = now
	}
	position, _ := slices.BinarySearchFunc(d.queue, j, compareUrgency)
	d.queue = slices.Insert(d.queue, position, j)
}

// limitQueue rejects a job that has just been queued if it won't be served in time, or
// the least urgent one if the queue has grown over its limit.
func (d *Dispatcher) limitQueue(now ids.Time, j *job) {
	reason := d.queueRejectReason(now, j, slices.Index(d.queue, j), d.totalSlots(now))
	switch {
	case reason != "":
		d.removeFromQueue(j)
		d.reject(now, j, reason)
	case len(d.queue) > d.QueueLimit:
		leastUrgent := d.queue[len(d.queue)-1]
		d.removeFromQueue(leastUrgent)
		d.reject(now, leastUrgent, reasonQueueFull)
	}
}

// estimateWait returns how long a job at a position of the queue, from 0, waits for one
// of some slots.
func (d *Dispatcher) estimateWait(position, slots int) time.Duration {
	return time.Duration(position+1) * d.meanResponseTime / time.Duration(max(slots, 1))
}

// queueRejectReason returns why a job at a position of the queue won't be served in
// time, or "".
func (d *Dispatcher) queueRejectReason(now ids.Time, j *job, position, slots int) string {
	if slots == 0 {
		return reasonNoTarget
	}
	wait, limit := d.estimateWait(position, slots), j.queueWaitLimit()
	// The time waited so far counts as well as the estimate: more urgent jobs may keep
	// overtaking one whose estimate always looks short.
	if wait > limit || now.Sub(j.queuedAt) > limit || now.Add(wait+d.meanResponseTime) > j.Deadline {
		return reasonNoSlotInTime
	}
	return ""
}
