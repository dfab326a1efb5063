package simulator

import (
	"time"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/dataplane/dispatch"
	"dunlinwell/internal/dataplane/proxy"
	"dunlinwell/internal/state/idempotency"
)

// forward is the real carrier's part: dial, let the target show who it is, look
// once more, send, and wait for a sealed answer.
func (d *dispatchers) forward(s ids.Name, f dispatch.Forward) {
	p, w := d.p, d.p.w
	e := d.jobs[f.ID]
	if e == nil {
		return
	}
	back := dispatch.AttemptFinished{ID: f.ID, Sequence: f.Sequence, Result: dispatch.NotSent, Reason: "dial"}
	end := func(after time.Duration, b dispatch.AttemptFinished) {
		p.later(after, func() { d.hand(s, b) })
	}
	t := w.targetByAddress[f.Target.Address]
	if t == nil || !t.up {
		end(w.between(0, time.Millisecond), back)
		return
	}
	if w.refused(p.name, p.zone, string(t.id), t.zone) {
		end(w.between(0, time.Millisecond), back)
		return
	}
	if !w.open(p.name, p.zone, string(t.id), t.zone) || !w.open(string(t.id), t.zone, p.name, p.zone) {
		end(min(time.Second, max(f.Deadline.Sub(p.now()), 0)), back)
		return
	}
	trip := w.far(p.zone, t.zone)
	p.later(2*trip, func() {
		// One that is frozen shows nothing: the dial runs out of time.
		if t.frozen && !w.Defect.SkipIdentityCheck {
			end(min(time.Second, max(f.Deadline.Sub(p.now()), 0)), back)
			return
		}
		// The connection shows who is there now.
		if !w.Defect.SkipIdentityCheck && (!t.up || t.id != f.Target.Instance || t.service != f.Target.Service || t.incarnation != f.Target.Incarnation || t.leaving) {
			end(0, back)
			return
		}
		if !proxy.MaySend(p.now(), f.SendBefore, d.last) {
			end(0, back)
			return
		}
		d.sent(s, f, e, t, trip)
	})
}

// sent is a request whose bytes have left.
func (d *dispatchers) sent(s ids.Name, f dispatch.Forward, e *forwardedRequest, t *target, trip time.Duration) {
	p, w := d.p, d.p.w
	over := false
	gen := p.generation
	var call *exchange
	end := func(b dispatch.AttemptFinished) {
		if !over {
			over, call.over = true, true
			d.hand(s, b)
		}
	}
	maybe := dispatch.AttemptFinished{ID: f.ID, Sequence: f.Sequence, Result: dispatch.MayHaveRun, Reason: "no sealed answer"}
	broken := maybe
	if w.Defect.ResetIsUnsent {
		broken.Result = dispatch.NotSent
	}
	call = w.begin(&exchange{from: p.name, to: string(t.id), fromZone: p.zone, toZone: t.zone, broken: func() {
		p.later(0, func() { end(broken) })
	}})
	p.later(max(f.Deadline.Sub(p.now()), 0), func() { end(maybe) })
	run, sent, left := t.generation, w.now, f.Deadline.Sub(p.now())
	w.later(trip, func() {
		if !t.up || t.generation != run {
			if p.generation == gen {
				p.later(trip, func() { end(maybe) })
			}
			return
		}
		came := w.now
		t.awake(func() {
			t.run(e, p, s, sent, came, left, func(a idempotency.Response, ok bool) {
				if p.generation != gen {
					return
				}
				b := maybe
				if ok {
					b = dispatch.AttemptFinished{ID: f.ID, Sequence: f.Sequence, Result: dispatch.Complete, Response: a}
					d.spent[[2]ids.Name{e.Route, s}] += w.Cost
					p.total += w.Cost
				}
				if !w.open(string(t.id), t.zone, p.name, p.zone) {
					return // lost on the way: the time limit ends it
				}
				p.later(trip, func() { end(b) })
			})
		})
	})
}
