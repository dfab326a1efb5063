package dispatch

import (
	"slices"
	"time"

	"dunlinwell/internal/base/ids"
)

// pauseThreshold is the gap between ticks above which the process counts as paused, that is
// suspended or not scheduled. Its service state may then be out of date, and a claim may have
// been granted long ago. Package proxy uses the same threshold to end its lease.
const pauseThreshold = time.Second

// isPausedOrStale reports whether the process has been paused since the last tick or the
// service state isn't current. Nothing is forwarded then.
func (d *Dispatcher) isPausedOrStale(now ids.Time) bool {
	return !d.service.IsCurrent || (d.lastTickAt != 0 && now.Sub(d.lastTickAt) > pauseThreshold)
}

// blockedReason returns why a job must not be forwarded now, or "". It is checked again at
// each step of a job, as the conditions may change while the job waits.
func (d *Dispatcher) blockedReason(now ids.Time, j *job) string {
	switch {
	case j.clientDisconnected:
		return reasonClientDisconnected
	case d.isPausedOrStale(now):
		return reasonNotCurrent
	case now >= d.leaseExpiresAt:
		// Without a recent confirmation by a quorum, the zone may have been drained, the
		// route removed or the address reassigned to another target.
		return reasonLeaseExpired
	case d.service.OwnZoneDrained:
		return reasonZoneDrained
	case d.service.RouteRules[j.Route] != j.RouteRules:
		return reasonRouteChanged
	}
	return ""
}

// admit assigns a slot to a job or queues it. A job that can't be served in time is rejected
// immediately instead of near its deadline, so that its client can retry elsewhere.
func (d *Dispatcher) admit(now ids.Time, j *job) {
	if reason := d.blockedReason(now, j); reason != "" {
		d.reject(now, j, reason)
		return
	}
	d.enqueue(now, j)
	d.dispatchQueue(now)
	// The job may have got a slot or a response.
	if j.state == queued && d.jobs[j.ID] == j {
		d.limitQueue(now, j)
	}
}

// enqueue inserts a job into the queue in order of urgency.
func (d *Dispatcher) enqueue(now ids.Time, j *job) {
	j.state = queued
	// A job that is queued again keeps the time at which it was first queued.
	if j.queuedAt == 0 {
		j.queuedAt = now
	}
	position, _ := slices.BinarySearchFunc(d.queue, j, compareUrgency)
	d.queue = slices.Insert(d.queue, position, j)
}

// limitQueue rejects a newly queued job if it won't be served in time, or the least urgent job
// if the queue exceeds its limit.
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

// estimateWait returns the expected wait of a job at a queue position, counted from 0, given
// the number of slots.
func (d *Dispatcher) estimateWait(position, slots int) time.Duration {
	return time.Duration(position+1) * d.meanResponseTime / time.Duration(max(slots, 1))
}

// queueRejectReason returns why a job at a queue position won't be served in time, or "".
func (d *Dispatcher) queueRejectReason(now ids.Time, j *job, position, slots int) string {
	if slots == 0 {
		return reasonNoTarget
	}
	wait, limit := d.estimateWait(position, slots), j.queueWaitLimit()
	// The time already waited is checked in addition to the estimate: a job that more urgent
	// ones keep overtaking may always have a short estimate.
	if wait > limit || now.Sub(j.queuedAt) > limit || now.Add(wait+d.meanResponseTime) > j.Deadline {
		return reasonNoSlotInTime
	}
	return ""
}
