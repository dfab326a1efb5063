package dispatch

import (
	"cmp"
	"slices"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/idempotency"
)

// compareUrgency orders the queue: the most urgent first, of those the ones that can
// still meet their goal, then the least time left.
func compareUrgency(a, b *job) int {
	return cmp.Or(-cmp.Compare(a.Tier, b.Tier), latenessRank(a)-latenessRank(b), cmp.Compare(a.Deadline, b.Deadline), cmp.Compare(a.ID, b.ID))
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
