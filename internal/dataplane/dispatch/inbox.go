package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/idempotency"
)

func (d *Dispatcher) sortedJobIDs() []ids.RequestID { return slices.Sorted(maps.Keys(d.jobs)) }

// compareUrgency orders the queue: the most urgent first, of those the ones that can
// still meet their goal, then the least time left.
func compareUrgency(a, b *job) int {
	return cmp.Or(-cmp.Compare(a.Tier, b.Tier), latenessRank(a)-latenessRank(b), cmp.Compare(a.Deadline, b.Deadline), cmp.Compare(a.ID, b.ID))
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

// maxQueueWait is how long a request may expect to wait in the queue, where its
// route names no goal.
const maxQueueWait = time.Second

// queueWaitLimit is how long a request may wait in the queue. A quarter of the goal
// leaves its client time for another try that is still worth most.
func (j *job) queueWaitLimit() time.Duration {
	if j.LatencyGoal == 0 || j.goalUnreachable {
		return maxQueueWait
	}
	return min(j.LatencyGoal/4, maxQueueWait)
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

// pruneQueue gives up at once what can't make it any more, say because targets
// went; nobody is held until near the deadline.
func (d *Dispatcher) pruneQueue(now ids.Time) {
	if len(d.queue) == 0 {
		return
	}
	slots, position := d.totalSlots(now), 0
	for _, j := range slices.Clone(d.queue) {
		reason := d.blockedReason(now, j)
		if reason == "" {
			reason = d.queueRejectReason(now, j, position, slots)
		}
		if reason == "" {
			position++
			continue
		}
		d.removeFromQueue(j)
		d.reject(now, j, reason)
	}
}

func (d *Dispatcher) removeFromQueue(j *job) {
	if position := slices.Index(d.queue, j); position >= 0 {
		d.queue = slices.Delete(d.queue, position, position+1)
	}
}

// dispatchQueue gives places to those that wait, the first in order first.
func (d *Dispatcher) dispatchQueue(now ids.Time) {
	if d.isPausedOrStale(now) || now >= d.leaseExpiresAt {
		return
	}
	for i := 0; i < len(d.queue); {
		j := d.queue[i]
		if reason := d.blockedReason(now, j); reason != "" {
			d.removeFromQueue(j)
			d.reject(now, j, reason)
			continue
		}
		e := d.pickEndpoint(now, j)
		if e == nil {
			// Others of this queue may still find a place that j avoids, or that
			// isn't among its homes, or that it has not waited long enough for.
			if len(j.triedTargets) == 0 && len(j.Homes) == 0 && j.LatencyGoal == 0 {
				return
			}
			i++
			continue
		}
		d.removeFromQueue(j)
		j.target = e.Instance
		e.startRequest(now)
		d.onSlotAcquired(now, j)
	}
}

// onSlotAcquired goes on with a job that holds a place.
func (d *Dispatcher) onSlotAcquired(now ids.Time, j *job) {
	switch {
	case !j.hasIdempotencyRecord():
		d.forward(now, j)
	default:
		// After a place that came to nothing the claim may stand, but is asked
		// for again, as a barring may have come between.
		j.claimRequested = true
		d.callIdempotency(now, j, idempotency.OpClaim, claimingKey, 2*time.Second)
	}
}

// releaseSlot gives a job's place back.
func (d *Dispatcher) releaseSlot(now ids.Time, j *job) {
	if e := d.endpoints[j.target]; e != nil && j.target != "" {
		e.inFlight--
		e.lastResponseAt = now
		if e.removed && e.inFlight <= 0 {
			delete(d.endpoints, j.target)
		}
	}
	j.target = ""
}
