package dispatch

import (
	"slices"
	"time"

	"dunlinwell/internal/base/ids"
)

// pauseThreshold is how long a gap in clock events counts as a freeze.
const pauseThreshold = time.Second

// isPausedOrStale tells whether this process slept, or isn't in step: nothing leaves.
func (d *Dispatcher) isPausedOrStale(now ids.Time) bool {
	return !d.service.IsCurrent || (d.lastTickAt != 0 && now.Sub(d.lastTickAt) > pauseThreshold)
}

// blockedReason tells why nothing of a job may leave just now, if so. It is asked
// again at each step of its way, as all of this may change while it waits.
func (d *Dispatcher) blockedReason(now ids.Time, j *job) string {
	switch {
	case d.isPausedOrStale(now):
		return "this proxy is not in step"
	// By what nobody has confirmed of late the zone may long be emptied, the
	// route gone, or the target another's.
	case now >= d.leaseExpiresAt:
		return "no majority has confirmed of late what this proxy goes by"
	case d.service.OwnZoneDrained:
		return "this cell is emptied; ask where to go"
	case d.service.Terms[j.Route] != j.Terms:
		return "its route was changed meanwhile"
	}
	return ""
}

// admit finds the job a place, or puts it into the short queue. What can't
// make it is rejected now, not when its time is nearly over.
func (d *Dispatcher) admit(now ids.Time, j *job) {
	if reason := d.blockedReason(now, j); reason != "" {
		d.reject(now, j, reason)
		return
	}
	j.state = queued
	// One that comes back from a target has waited before.
	if j.queuedAt == 0 {
		j.queuedAt = now
	}
	position, _ := slices.BinarySearchFunc(d.queue, j, compareUrgency)
	d.queue = slices.Insert(d.queue, position, j)
	d.dispatchQueue(now)
	if j.state != queued || d.jobs[j.ID] != j {
		return
	}
	reason := d.queueRejectReason(now, j, slices.Index(d.queue, j), d.totalSlots(now))
	switch {
	case reason != "":
		d.removeFromQueue(j)
		d.reject(now, j, reason)
	case len(d.queue) > d.QueueLimit:
		// The least urgent makes room.
		last := d.queue[len(d.queue)-1]
		d.removeFromQueue(last)
		d.reject(now, last, "too much work")
	}
}

// queueRejectReason tells why a request at a place in the queue won't make it, if so.
func (d *Dispatcher) queueRejectReason(now ids.Time, j *job, position, slots int) string {
	wait := time.Duration(position+1) * d.meanResponseTime / time.Duration(max(slots, 1))
	switch {
	case slots == 0:
		return "no target takes work now"
	// However short the way looks: more urgent ones may keep overtaking it.
	case wait > j.queueWaitLimit() || now.Sub(j.queuedAt) > j.queueWaitLimit() || now.Add(wait+d.meanResponseTime) > j.Deadline:
		return "no place in the time left"
	}
	return ""
}
