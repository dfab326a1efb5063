package simulator

import (
	"time"

	"dunlinwell/internal/controlplane/registry"
	"dunlinwell/internal/state/configuration"
)

// checkRepeatedResponse checks the response to a change that may be a resend: an accepted change
// must not be rejected when it is resent.
func (w *World) checkRepeatedResponse(id string, response registry.Response) {
	if w.operators.confirmed[id] && !w.operators.changeRecordsLost && response.Status >= 400 && response.Status < 500 {
		w.Checker.Violation("%s was accepted, but rejected with %d when resent", id, response.Status)
	}
}

// scheduleRepeat resends some accepted changes after a delay of up to 20 s.
func (w *World) scheduleRepeat(id, raw string) {
	if w.random.IntN(4) > 0 || w.operators.changeRecordsLost {
		return
	}
	w.schedule(w.randomDuration(0, 20*time.Second), func() { w.repeatChange(id, raw) })
}

// repeatChange resends an accepted change.
func (w *World) repeatChange(id, raw string) {
	if w.operators.changeRecordsLost {
		return
	}
	w.callAnyRegistry(operator, w.Plan.Zone(0), func(callID uint64) any { return registry.ChangeCall{ID: callID, Raw: []byte(raw)} }, func(response registry.Response) {
		w.trace("operator: resent %s ends with %d", id, response.Status)
		w.checkRepeatedResponse(id, response)
	}, nil)
}

// sendChange sends a change, retrying with the same ID until its outcome is known.
func (w *World) sendChange(raw string, accepted func(configuration.Result)) {
	id := w.Checker.ChangeSent([]byte(raw), w.wallTime())
	w.history.begin(w.now, id)
	w.attemptChange(id, raw, true, accepted)
	w.changeSent()
}

// attemptChange sends a change once and retries if needed. noCopyPending reports that no earlier
// copy can still take effect.
func (w *World) attemptChange(id, raw string, noCopyPending bool, accepted func(configuration.Result)) {
	retry := func() { w.schedule(300*millisecond, func() { w.attemptChange(id, raw, noCopyPending, accepted) }) }
	retryOutcomeUnknown := func() { noCopyPending = false; retry() }
	w.callAnyRegistry(operator, w.Plan.Zone(0), func(callID uint64) any { return registry.ChangeCall{ID: callID, Raw: []byte(raw)} }, func(response registry.Response) {
		result, ok := response.Body.(configuration.Result)
		switch {
		case !ok && response.Status != 503:
			retryOutcomeUnknown()
			return
		// The change had no effect. Some operators give up here, and then no read may ever return
		// it.
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
			w.Checker.Violation("%s was rejected with %d: %+v", id, response.Status, result)
			w.Checker.ChangeRejected(id)
		default:
			// A conflict: the item was already removed, or another change was accepted first.
			w.Checker.ChangeRejected(id)
			w.history.rejected(id)
		}
	}, retryOutcomeUnknown)
}
