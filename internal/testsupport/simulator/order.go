package simulator

import (
	"time"

	"dunlinwell/internal/controlplane/registry"
	"dunlinwell/internal/state/configuration"
)

const (
	// operatorTimeout is how long an operator waits for an answer before the same
	// order goes to another daemon; some wait for as long as everybody else.
	operatorTimeout = time.Second
	callerTimeout   = 4 * time.Second
)

// waits draws how long a caller waits for an answer.
func (w *World) waits(caller string) time.Duration {
	if caller == operator && w.random.IntN(4) > 0 {
		return operatorTimeout
	}
	return callerTimeout
}

// confirm gives an answer to an operator as a planted mistake may spoil it.
func (w *World) confirm(rep registry.Response) registry.Response {
	if w.Defect.Confirm != nil {
		return w.Defect.Confirm(rep)
	}
	return rep
}

// answeredOperator hears of an answer that a registry gives an operator, and
// tells whether it is lost on its way.
func (w *World) answeredOperator(p *process, rep registry.Response) bool {
	if r, ok := rep.Body.(configuration.Result); ok && rep.Status == 200 {
		w.operators.taken[string(r.ID)] = true
		w.acknowledged(p)
	}
	return w.answerLoss > 0 && w.random.Float64() < w.answerLoss
}

// judgeCopy judges the answer to an order that was sent more than once: one
// that was taken is confirmed again or left without a clear answer.
func (w *World) judgeCopy(id string, rep registry.Response) {
	if w.operators.taken[id] && !w.operators.recordLost && rep.Status >= 400 && rep.Status < 500 {
		w.Checker.Violation("%s was taken, and refused with %d when it came again", id, rep.Status)
	}
}

// sendCopies lets an order that was confirmed arrive again, at times, soon or
// long after.
func (w *World) sendCopies(id, raw string) {
	if w.random.IntN(4) > 0 || w.operators.recordLost {
		return
	}
	w.later(w.between(0, 20*time.Second), func() { w.sendCopy(id, raw) })
}

func (w *World) sendCopy(id, raw string) {
	if w.operators.recordLost {
		return
	}
	w.call(operator, w.Plan.Zone(0), func(x uint64) any { return registry.ChangeCall{ID: x, Raw: []byte(raw)} }, func(rep registry.Response) {
		w.trace("operator: a copy of %s ends with %d", id, rep.Status)
		w.judgeCopy(id, rep)
	}, nil)
}

// change sends a change until its end is known, under the same id each time.
func (w *World) change(raw string, accepted func(configuration.Result)) {
	id := w.Checker.ChangeSent([]byte(raw), w.clock())
	w.history.begin(w.now, id)
	w.resend(id, raw, true, accepted)
	w.changeSent()
}

// resend sends it once more; sure tells that no earlier copy can take effect.
func (w *World) resend(id, raw string, sure bool, accepted func(configuration.Result)) {
	again := func() { w.later(300*millisecond, func() { w.resend(id, raw, sure, accepted) }) }
	maybe := func() { sure = false; again() }
	w.call(operator, w.Plan.Zone(0), func(x uint64) any { return registry.ChangeCall{ID: x, Raw: []byte(raw)} }, func(rep registry.Response) {
		r, ok := rep.Body.(configuration.Result)
		switch {
		case !ok && rep.Status != 503:
			maybe()
			return
		// Surely not accepted: some operators leave it at that, and then it may
		// never show.
		case !ok && sure && w.random.IntN(3) == 0 && accepted == nil:
			w.Checker.ChangeRejected(id)
			w.history.rejected(id)
			return
		case !ok:
			again()
			return
		}
		w.trace("operator: %s ends with %d, revision %d", id, rep.Status, r.Revision)
		w.judgeCopy(id, rep)
		switch rep.Status {
		case 200:
			w.Checker.ChangeAccepted(id, uint64(r.Revision), w.clock())
			w.history.accepted(w.now, id, r.Revision)
			w.promise(r.Revision)
			w.sendCopies(id, raw)
			if accepted != nil {
				accepted(r)
			}
		case 400:
			w.Checker.Violation("%s was declined with %d: %+v", id, rep.Status, r)
			w.Checker.ChangeRejected(id)
		default:
			// What it removes is gone already, or another was sooner.
			w.Checker.ChangeRejected(id)
			w.history.rejected(id)
		}
	}, maybe)
}
