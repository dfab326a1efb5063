package dispatch

import (
	"strings"
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/idempotency"
)

// respond ends a job with its one answer.
func (d *Dispatcher) respond(now ids.Time, j *job, r Response) {
	r.ID = j.ID
	d.free(now, j)
	delete(d.jobs, j.ID)
	switch r.Class {
	case Rejected:
		d.Tally.Rejected++
		d.note(r.Why)
	case Unknown:
		d.Tally.Unknown++
		d.note(r.Why)
	case Answered:
		d.Tally.Answered++
	}
	d.Emit(r)
}

// mostReasons bounds the reasons kept apart; some name addresses.
const mostReasons = 16

// note counts a reason, by its words before any colon.
func (d *Dispatcher) note(why string) {
	why, _, _ = strings.Cut(why, ":")
	if _, known := d.reasons[why]; !known && len(d.reasons) >= mostReasons {
		why = "other"
	}
	if d.reasons == nil {
		d.reasons = map[string]int{}
	}
	d.reasons[why]++
}

// Reasons gives why requests got no answer since it was last asked.
func (d *Dispatcher) Reasons() map[string]int {
	out := d.reasons
	d.reasons = nil
	return out
}

func (d *Dispatcher) unknown(now ids.Time, j *job, status int, why string) {
	after := time.Duration(0)
	if j.Repeatable {
		after = time.Second
	}
	d.respond(now, j, Response{Class: Unknown, Status: status, Why: why, RetryAfter: after})
}

// reject gives a job up that surely has not run. A later attempt must first
// bar the earlier ones, or one of them might still run after this answer.
func (d *Dispatcher) reject(now ids.Time, j *job, why string) {
	d.free(now, j)
	if j.marked() && j.Attempt > 1 {
		j.why = why
		d.wish(now, j, idempotency.OpBlock, barring, 500*time.Millisecond)
		return
	}
	if j.claimed {
		d.Emit(IdempotencyCall{Key: idempotency.RegisterKey(j.Route, j.IdempotencyKey), Op: idempotency.OpRelease, Operation: d.words(j), Wait: 10 * time.Second})
	}
	d.respond(now, j, Response{Class: Rejected, Status: 503, Why: why, RetryAfter: d.after(now, j)})
}

// after is when a rejected client should come back: when a place is likely,
// by what waits now. Without a goal there is no telling how soon is soon.
func (d *Dispatcher) after(now ids.Time, j *job) time.Duration {
	if j.Goal == 0 {
		return time.Second
	}
	wait := time.Duration(len(d.queue)+1) * d.mean / time.Duration(max(d.places(now), 1))
	return min(max(wait, j.Goal/8), time.Second)
}

// repeated answers with the outcome of the run that there was.
func (d *Dispatcher) repeated(now ids.Time, j *job, a idempotency.Response) {
	d.Tally.Repeats++
	switch {
	case a.Status == 0 || a.Status == 504 && a.BodyOmitted:
		d.unknown(now, j, 504, "may have run; its answer was lost")
	case a.BodyOmitted:
		d.respond(now, j, Response{Class: Answered, Status: 200, Why: "it ran; the answer was too large to keep", Sealed: a})
	default:
		d.respond(now, j, Response{Class: Answered, Status: int(a.Status), Sealed: a})
	}
}

func status(now ids.Time, j *job) int {
	if now >= j.Deadline {
		return 504
	}
	return 502
}
