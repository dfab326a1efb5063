package dispatch

import (
	"cmp"
	"slices"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/idempotency"
)

// compareUrgency orders the queue by tier, highest first, then jobs that can meet their
// latency goal before others, then by deadline and arrival.
func compareUrgency(a, b *job) int {
	return cmp.Or(
		-cmp.Compare(a.Tier, b.Tier),
		goalRank(a)-goalRank(b),
		cmp.Compare(a.Deadline, b.Deadline),
		cmp.Compare(a.ID, b.ID),
	)
}

// pruneQueue rejects jobs that can no longer be served in time, for example after targets
// were removed, instead of keeping them until their deadline.
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

// removeFromQueue removes a job from the queue, if present.
func (d *Dispatcher) removeFromQueue(j *job) {
	if position := slices.Index(d.queue, j); position >= 0 {
		d.queue = slices.Delete(d.queue, position, position+1)
	}
}

// dispatchQueue assigns free slots to queued jobs, the most urgent first.
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
			if !j.isRestricted() {
				return
			}
			// A later job may be able to use a slot that this one can't.
			i++
			continue
		}
		d.removeFromQueue(j)
		j.target = e.Instance
		e.startRequest(now)
		d.onSlotAcquired(now, j)
	}
}

// isRestricted reports whether there may be free slots that only other jobs can use: at
// targets that this job has tried, outside its regions, or beyond its current maximum distance.
func (j *job) isRestricted() bool {
	return len(j.triedTargets) > 0 || len(j.HomeRegions) > 0 || j.LatencyGoal != 0
}

// onSlotAcquired forwards a job that holds a slot, or first claims its idempotency key if it
// requires one.
func (d *Dispatcher) onSlotAcquired(now ids.Time, j *job) {
	if !j.requiresIdempotencyKey() {
		d.forward(now, j)
		return
	}
	// The claim is requested even if this job already holds it from an earlier slot, as a
	// later attempt may have blocked this one since.
	j.claimRequested = true
	d.callIdempotency(now, j, idempotency.OpClaim, claimingKey, registerTimeout)
}

// releaseSlot releases a job's slot, if it holds one.
func (d *Dispatcher) releaseSlot(now ids.Time, j *job) {
	d.releaseSlotWith(j, func(e *endpoint) { e.endRequest(now) })
}

// releaseCanceledSlot releases the slot of a job whose attempt was canceled.
func (d *Dispatcher) releaseCanceledSlot(now ids.Time, j *job) {
	d.releaseSlotWith(j, func(e *endpoint) { e.cancelRequest(now) })
}

// releaseSlotWith releases a job's slot, if it holds one, by calling release on its endpoint.
func (d *Dispatcher) releaseSlotWith(j *job, release func(*endpoint)) {
	if e := d.endpoints[j.target]; e != nil && j.target != "" {
		release(e)
		if e.removed && e.inFlight <= 0 {
			delete(d.endpoints, j.target)
		}
	}
	j.target = ""
}
