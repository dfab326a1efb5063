package dispatch

import "dunlinwell/internal/base/ids"

// sentEnough tells whether a job was sent to as many targets as it may be.
func (d *Dispatcher) sentEnough(j *job) bool {
	if j.Attempts > 0 {
		return j.sends >= j.Attempts
	}
	return j.tries > 2
}

// turnedAway sends on what a target says that it did not run: to another one,
// as a retry, or back to its consumer.
func (d *Dispatcher) turnedAway(now ids.Time, j *job, e Back) {
	if j.marked() {
		// Its mark's claim stands, and another place is asked for under it.
		d.admit(now, j)
		return
	}
	if j.tries++; d.sentEnough(j) || now.Add(d.mean) >= j.Due || !d.budget.spend() {
		d.decline(now, j, "targets turned it away: "+e.Why)
		return
	}
	d.Tally.Retried++
	d.admit(now, j)
}

// retry sends a repeatable request again, within the budget and the time.
func (d *Dispatcher) retry(now ids.Time, j *job, e Back) {
	if j.tries++; d.sentEnough(j) || now.Add(d.mean) >= j.Due || !d.budget.spend() {
		// A failure of the target's own is still its answer.
		if e.How == Failed {
			d.respond(now, j, Response{Class: Answered, Status: int(e.Response.Status), Sealed: e.Response})
			return
		}
		d.unknown(now, j, status(now, j), "given up: "+e.Why)
		return
	}
	d.Tally.Retried++
	d.admit(now, j)
}

// forwarded counts a request that leaves, by how far it goes.
func (t *Tally) ferried(distance float64) {
	t.Ferried++
	switch {
	case distance > 1:
		t.Far++
	case distance > 0:
		t.Region++
	}
}
