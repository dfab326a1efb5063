package dispatch

import (
	"cmp"
	"slices"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/idempotency"
)

// compareUrgency orders the queue: by tier, highest first; then jobs that can still meet
// their goal; then by deadline; then by arrival.
func compareUrgency(a, b *job) int {
	return cmp.Or(
		-cmp.Compare(a.Tier, b.Tier),
		latenessRank(a)-latenessRank(b),
		cmp.Compare(a.Deadline, b.Deadline),
		cmp.Compare(a.ID, b.ID),
	)
}

// pruneQueue rejects jobs that can't be served in time any more, for instance because
// targets have left, instead of holding them until their deadline.
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

// removeFromQueue takes a job out of the queue, if it is there.
func (d *Dispatcher) removeFromQueue(j *job) {
	if position := slices.Index(d.queue, j); position >= 0 {
		d.queue = slices.Delete(d.queue, position, position+1)
	}
}

// dispatchQueue gives free slots to queued jobs, the most urgent first.
func (d *Dispatcher) dispatchQueue(now ids.Time) {
	if d.isFrozenOrStale(now) || now >= d.leaseExpiresAt {
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
			// A later job may still use a slot that this one may not.
			i++
			continue
		}
		d.removeFromQueue(j)
		j.target = e.Instance
		e.startRequest(now)
		d.onSlotAcquired(now, j)
	}
}

// isRestricted tells whether there may be free slots that others may use and this job may
// not: at a target that it tried, outside its regions, or farther away than its time in
// the queue allows yet.
func (j *job) isRestricted() bool {
	return len(j.triedTargets) > 0 || len(j.Homes) > 0 || j.LatencyGoal != 0
}

// onSlotAcquired goes on with a job that holds a slot: it is forwarded, under a claim of
// its idempotency key if it has one.
func (d *Dispatcher) onSlotAcquired(now ids.Time, j *job) {
	if !j.requiresIdempotencyKey() {
		d.forward(now, j)
		return
	}
	// An earlier slot of this job may have led to a claim that still stands. It is asked
	// for again, as a later attempt may have blocked this one since.
	j.claimRequested = true
	d.callIdempotency(now, j, idempotency.OpClaim, claimingKey, registerTimeout)
}

// releaseSlot returns a job's slot, if it holds one.
func (d *Dispatcher) releaseSlot(now ids.Time, j *job) {
	d.endSlot(j, func(e *endpoint) { e.endRequest(now) })
}

// releaseCanceledSlot returns the slot of a job whose attempt was canceled.
func (d *Dispatcher) releaseCanceledSlot(now ids.Time, j *job) {
	d.endSlot(j, func(e *endpoint) { e.cancelRequest(now) })
}

// endSlot has a job's endpoint, if it has one, count its request off.
func (d *Dispatcher) endSlot(j *job, countOff func(*endpoint)) {
	if e := d.endpoints[j.target]; e != nil && j.target != "" {
		countOff(e)
		if e.removed && e.inFlight <= 0 {
			delete(d.endpoints, j.target)
		}
	}
	j.target = ""
}
