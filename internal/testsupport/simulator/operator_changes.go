package simulator

import (
	"time"

	"dunlinwell/internal/controlplane/registry"
	"dunlinwell/internal/state/configuration"
)

// checkRepeatedResponse checks the answer to a change that may have been sent before: once accepted,
// it must be confirmed again or left without a definite answer.
func (w *World) checkRepeatedResponse(id string, response registry.Response) {
	if w.operators.confirmed[id] && !w.operators.changeRecordsLost && response.Status >= 400 && response.Status < 500 {
		w.Checker.Violation("%s was taken, and refused with %d when it came again", id, response.Status)
	}
}

// scheduleRepeat sometimes lets an accepted change arrive again, soon or much later.
func (w *World) scheduleRepeat(id, raw string) {
	if w.random.IntN(4) > 0 || w.operators.changeRecordsLost {
		return
	}
	w.schedule(w.randomDuration(0, 20*time.Second), func() { w.repeatChange(id, raw) })
}

// repeatChange sends an accepted change again.
func (w *World) repeatChange(id, raw string) {
	if w.operators.changeRecordsLost {
		return
	}
	w.callAnyRegistry(operator, w.Plan.Zone(0), func(callID uint64) any { return registry.ChangeCall{ID: callID, Raw: []byte(raw)} }, func(response registry.Response) {
		w.trace("operator: a copy of %s ends with %d", id, response.Status)
		w.checkRepeatedResponse(id, response)
	}, nil)
}

// sendChange sends a change until its outcome is known, under the same id each time.
func (w *World) sendChange(raw string, accepted func(configuration.Result)) {
	id := w.Checker.ChangeSent([]byte(raw), w.wallTime())
	w.history.begin(w.now, id)
	w.attemptChange(id, raw, true, accepted)
	w.changeSent()
}

// attemptChange sends a change once more. noCopyPending: no earlier copy can take effect.
func (w *World) attemptChange(id, raw string, noCopyPending bool, accepted func(configuration.Result)) {
	retry := func() { w.schedule(300*millisecond, func() { w.attemptChange(id, raw, noCopyPending, accepted) }) }
	retryOutcomeUnknown := func() { noCopyPending = false; retry() }
	w.callAnyRegistry(operator, w.Plan.Zone(0), func(callID uint64) any { return registry.ChangeCall{ID: callID, Raw: []byte(raw)} }, func(response registry.Response) {
		result, ok := response.Body.(configuration.Result)
		switch {
		case !ok && response.Status != 503:
			retryOutcomeUnknown()
			return
		// It had no effect: some operators give up here, and then no read may ever show it.
		case !ok && noCopyPending && w.random.IntN(3) == 0 && accepted == nil:
			w.Checker.ChangeRejected(id)
			w.history.rejected(id)
			return
		case !ok:
			retry()
			return
		}
		w.trace("operator: %s ends with %d, revision %d", id, response.Status, result.Revision)
		w.checkRepeatedResponse(id, response)
		switch response.Status {
		case 200:
			w.Checker.ChangeAccepted(id, uint64(result.Revision), w.wallTime())
			w.history.accepted(w.now, id, result.Revision)
			w.checkRevisionInForce(result.Revision)
			w.scheduleRepeat(id, raw)
			if accepted != nil {
				accepted(result)
			}
		case 400:
			w.Checker.Violation("%s was declined with %d: %+v", id, response.Status, result)
			w.Checker.ChangeRejected(id)
		default:
			// A conflict: what it removes is gone already, or another change came first.
			w.Checker.ChangeRejected(id)
			w.history.rejected(id)
		}
	}, retryOutcomeUnknown)
}
