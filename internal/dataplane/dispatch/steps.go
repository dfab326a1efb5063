package dispatch

import (
	"bytes"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/consensus"
	"dunlinwell/internal/state/idempotency"
)

// told goes on with a job once its mark's register has spoken.
func (d *Dispatcher) told(now ids.Time, e IdempotencyReply) {
	j := d.jobs[e.ID]
	if j == nil || j.turn != e.Turn {
		return
	}
	switch j.phase {
	case looking:
		d.looked(now, j, e)
	case entering:
		d.entered(now, j, e)
	case claiming:
		d.claimed(now, j, e)
	case barring:
		d.barred(now, j, e)
	case settling:
		// A lost outcome doesn't hold the answer back: the claim still stands
		// against a second run.
		d.settled(now, j)
	}
}

func (d *Dispatcher) looked(now ids.Time, j *job, e IdempotencyReply) {
	s, ok := idempotency.DecodeRecord(e.Out)
	switch {
	case e.Outcome != consensus.Succeeded || !ok:
		d.unknown(now, j, 504, "an earlier attempt may have run; its mark can't be read now")
	case s.State != idempotency.Unclaimed && !bytes.Equal(s.Fingerprint, j.Fingerprint):
		d.misused(now, j)
	case s.State == idempotency.Completed:
		d.repeated(now, j, s.Response)
	case s.State == idempotency.Claimed:
		d.wait(now, j, s.Owner)
	default:
		d.admit(now, j)
	}
}

// entered goes on with an attempt that the register has numbered.
func (d *Dispatcher) entered(now ids.Time, j *job, e IdempotencyReply) {
	r, ok := idempotency.DecodeResult(e.Out)
	switch {
	case e.Outcome != consensus.Succeeded || !ok:
		d.unknown(now, j, 504, "an earlier attempt may have run; its mark can't be read now")
	case r.Verdict == idempotency.Released:
		j.Attempt = max(r.Record.NumberedAttempts, 1)
		d.admit(now, j)
	case r.Verdict == idempotency.FingerprintMismatch:
		d.misused(now, j)
	case r.Verdict == idempotency.AlreadyCompleted:
		d.repeated(now, j, r.Record.Response)
	case r.Verdict == idempotency.RecordLost:
		d.unknown(now, j, 504, "an earlier attempt may have run; marks were lost of late")
	default:
		d.wait(now, j, r.Record.Owner)
	}
}

func (d *Dispatcher) misused(now ids.Time, j *job) {
	d.respond(now, j, Response{Class: Misused, Status: 422, Why: "this mark was used for another method, path or body"})
}

// wait is for another's run. One whose proxy is gone will never tell.
func (d *Dispatcher) wait(now ids.Time, j *job, o idempotency.Owner) {
	d.free(now, j)
	if o.Daemon != d.Self.Daemon && d.stock.Ended != nil && d.stock.Ended(o.Daemon, o.RunID) {
		d.unknown(now, j, 504, "may have run; the proxy that had it is gone")
		return
	}
	// A run of our own that isn't at hand any more ended before a restart.
	if o.Daemon == d.Self.Daemon && o.RunID != d.Self.RunID {
		d.unknown(now, j, 504, "may have run; this proxy was restarted meanwhile")
		return
	}
	j.phase, j.again = waiting, now.Add(100*time.Millisecond)
	j.turn++
}

func (d *Dispatcher) claimed(now ids.Time, j *job, e IdempotencyReply) {
	r, ok := idempotency.DecodeResult(e.Out)
	if e.Outcome != consensus.Succeeded || !ok {
		d.reject(now, j, "the mark couldn't be claimed in time")
		return
	}
	switch r.Verdict {
	case idempotency.Granted:
		// A claim alone is not enough: time must be left, and no pause noticed.
		switch {
		case now >= j.Deadline:
			d.reject(now, j, "no time left")
		case d.paused(now):
			d.reject(now, j, "this proxy was paused")
		default:
			d.forward(now, j)
		}
	case idempotency.InProgress:
		d.wait(now, j, r.Record.Owner)
	case idempotency.AlreadyCompleted:
		d.repeated(now, j, r.Record.Response)
	case idempotency.FingerprintMismatch:
		d.misused(now, j)
	case idempotency.RecordLost:
		j.claimed = false
		d.unknown(now, j, 504, "an earlier attempt may have run; marks were lost of late")
	default:
		// Barred: a later attempt was told that this one will never run.
		j.claimed = false
		d.respond(now, j, Response{Class: Rejected, Status: 503, Why: "given up in favour of a later attempt", RetryAfter: time.Second})
	}
}

func (d *Dispatcher) barred(now ids.Time, j *job, e IdempotencyReply) {
	r, ok := idempotency.DecodeResult(e.Out)
	switch {
	case e.Outcome != consensus.Succeeded || !ok:
		d.unknown(now, j, 504, j.why+"; whether an earlier attempt ran isn't known")
	case r.Verdict == idempotency.Released:
		d.respond(now, j, Response{Class: Rejected, Status: 503, Why: j.why, RetryAfter: time.Second})
	case r.Verdict == idempotency.AlreadyCompleted:
		d.repeated(now, j, r.Record.Response)
	case r.Verdict == idempotency.FingerprintMismatch:
		d.misused(now, j)
	default:
		d.unknown(now, j, 504, "another attempt may still run")
	}
}

// forward lets the request go. From here on "rejected" is out of the question
// unless no byte left.
func (d *Dispatcher) forward(now ids.Time, j *job) {
	// The mark took its time: what was so when the place was found may not be.
	if why := d.withheld(now, j); why != "" {
		d.reject(now, j, why)
		return
	}
	s := d.spots[j.target]
	if s == nil || !d.fit(s) || s.busy > d.share(now, s.Offer) {
		// While the mark was being claimed the target went, or came back cold.
		d.free(now, j)
		d.admit(now, j)
		return
	}
	// A client's repeat that reaches a target is a retry like our own.
	if j.Attempt > 1 && !j.counted && !d.budget.spend() {
		d.reject(now, j, "the budget for repeated requests is used up")
		return
	}
	// A first request earns as it leaves: counted any later, its share could
	// be spent in a span that has only the retries.
	if !j.counted {
		j.counted = true
		j.earned = j.Attempt <= 1
		if j.earned {
			d.budget.earn()
		}
	}
	j.phase = forwarding
	j.sends++
	j.turn++
	j.placed = now
	d.Tally.forwarded(s.Distance)
	d.Emit(Forward{ID: j.ID, Turn: j.turn, Target: s.Target, Deadline: j.Deadline, SendBefore: min(j.Deadline, d.lease), NewConnection: j.marked(), Careful: j.Single})
}

// back takes a forwarded request's end.
func (d *Dispatcher) back(now ids.Time, e AttemptFinished) {
	j := d.jobs[e.ID]
	if j == nil || j.turn != e.Turn || j.phase != forwarding {
		return
	}
	s := d.spots[j.target]
	// A failure is sealed too: where nobody may try again it is the answer.
	if e.Result == TargetFailed && !j.Repeatable {
		e.Result = Complete
	}
	if e.Result == Complete {
		d.mean += (now.Sub(j.placed) - d.mean) / 8
	}
	if s != nil {
		s.came(now, e)
	}
	j.avoid[j.target] = true
	d.free(now, j)
	if e.Result == NotSent && j.earned {
		d.budget.unearn()
		j.earned, j.counted = false, false
	}
	switch {
	case e.Result == Complete && !j.marked():
		d.respond(now, j, Response{Class: Answered, Status: int(e.Response.Status), Sealed: e.Response})
	case e.Result == Complete:
		j.response = e.Response
		d.wish(now, j, idempotency.OpComplete, settling, 500*time.Millisecond)
	case e.Result == NotSent:
		// Nothing left, so another target may have it, and no retry is spent.
		j.sends--
		if j.tries++; j.tries > 3 {
			d.reject(now, j, "no target could be reached: "+e.Why)
			return
		}
		d.admit(now, j)
	case e.Result == NotExecuted || e.Result == WrongTarget:
		d.turnedAway(now, j, e)
	case j.Repeatable:
		d.retry(now, j, e)
	case j.Single:
		d.unknown(now, j, status(now, j), "may have run: "+e.Why)
	default:
		// Final: a repeat learns at once that nobody will ever know more.
		j.response = idempotency.Response{Status: 504, BodyOmitted: true}
		d.Emit(IdempotencyCall{Key: idempotency.RegisterKey(j.Route, j.IdempotencyKey), Op: idempotency.OpComplete, Operation: d.words(j), Wait: 10 * time.Second})
		d.unknown(now, j, status(now, j), "may have run: "+e.Why)
	}
	d.drain(now)
}

func (d *Dispatcher) settled(now ids.Time, j *job) {
	d.respond(now, j, Response{Class: Answered, Status: int(j.response.Status), Sealed: j.response})
}

// clock ends what has run out of time and looks again at what waits.
func (d *Dispatcher) clock(now ids.Time) {
	d.last = now
	for _, id := range d.order() {
		j := d.jobs[id]
		switch {
		case j == nil:
		case j.phase == waiting && now >= j.Deadline:
			d.unknown(now, j, 504, "another attempt is still running")
		case j.phase == waiting && now >= j.again:
			d.look(now, j)
		}
	}
	d.review(now)
	d.drain(now)
}
