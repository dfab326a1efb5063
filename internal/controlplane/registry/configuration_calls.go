package registry

import (
	"encoding/json"
	"net/http"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/configuration"
	"dunlinwell/internal/state/consensus"
)

// indeterminateChange is the answer to a change that may have been accepted.
const indeterminateChange = "uncertain: the change may have been accepted; send it again under the same id"

// resultHandler answers a call with the result that a majority of stores agreed on.
type resultHandler func(now ids.Time, result configuration.Result)

// handleReadConfiguration answers with this registry's own copy, or with one read from a
// majority of stores after the call arrived.
func (r *Registry) handleReadConfiguration(now ids.Time, call ReadConfigurationCall) {
	switch {
	case !call.Local:
		r.withLease(now, call.ID, func(now ids.Time) { r.startLinearizableRead(now, call.ID) })
	case r.lease.isHeld(now):
		r.reply(call.ID, http.StatusOK, r.configuration.document)
	default:
		r.replyUnavailable(call.ID)
	}
}

// startLinearizableRead reads the configuration from a majority of the stores, so that the
// answer is never stale.
func (r *Registry) startLinearizableRead(now ids.Time, id uint64) {
	onComplete := func(_ ids.Time, outcome consensus.Outcome, value []byte) {
		document, err := configuration.Decode(value)
		if outcome != consensus.Succeeded || err != nil {
			r.replyUnavailable(id)
			return
		}
		r.lease.renew(now)
		r.adoptConfiguration(value)
		document.RecentResults, document.RejectedResults, document.History = nil, nil, nil
		r.reply(id, http.StatusOK, document)
	}
	state := &r.configuration
	read := r.Client.ReadIfChanged(now, configuration.Key, state.registerValue, state.registerChecksum, callTimeout, onComplete)
	r.trackPendingCall(now, 0, read)
}

// handleChange submits a change, unless parsing it already finds violations.
func (r *Registry) handleChange(now ids.Time, call ChangeCall) {
	if change, violations := configuration.ReadChange(call.Raw); len(violations) > 0 {
		r.reply(call.ID, http.StatusBadRequest, configuration.Result{ID: change.ID, Violations: violations})
		return
	}
	r.submitChange(now, call.ID, configuration.OpChange, call.Raw, r.replyWithResult(call.ID))
}

// handleMerge submits a merge of versioned items that passes Merge.Check.
func (r *Registry) handleMerge(now ids.Time, call MergeCall) {
	if violations := call.Body.Check(); len(violations) > 0 {
		r.reply(call.ID, http.StatusBadRequest, configuration.Result{Violations: violations})
		return
	}
	encoded, err := json.Marshal(call.Body)
	if err != nil {
		r.replyError(call.ID, http.StatusBadRequest, err.Error())
		return
	}
	r.submitChange(now, call.ID, configuration.OpMerge, encoded, r.replyWithResult(call.ID))
}

// submitChange submits a change of the configuration to the stores under the control lease.
// handleResult answers the call; if there is no result, submitChange does.
func (r *Registry) submitChange(now ids.Time, id uint64, op consensus.Op, argument []byte, handleResult resultHandler) {
	r.withLease(now, id, func(now ids.Time) { r.startChange(now, id, op, argument, handleResult) })
}

func (r *Registry) startChange(now ids.Time, id uint64, op consensus.Op, argument []byte, handleResult resultHandler) {
	onComplete := func(now ids.Time, outcome consensus.Outcome, encoded []byte) {
		var result configuration.Result
		switch {
		case outcome == consensus.Rejected:
			r.replyUnavailable(id)
		case outcome != consensus.Succeeded || json.Unmarshal(encoded, &result) != nil:
			r.replyRetry(id, http.StatusGatewayTimeout, indeterminateChange)
		default:
			handleResult(now, result)
		}
	}
	call := r.Client.Call(now, configuration.Key, op, argument, CallTimeout(len(argument)), onComplete)
	r.trackPendingCall(now, len(argument), call)
}

// replyWithResult returns the handler that answers a call with its result.
func (r *Registry) replyWithResult(id uint64) resultHandler {
	return func(_ ids.Time, result configuration.Result) {
		for _, conflict := range result.ReuseConflicts {
			r.Log(event.LevelWarn, logItemVersionReused, "item", conflict.Item, "path", conflict.Path)
		}
		r.reply(id, httpStatus(result), result)
	}
}

// httpStatus returns the HTTP status for a result. An unknown result takes precedence, as
// it must not be reported as a rejection.
func httpStatus(result configuration.Result) int {
	switch {
	case result.UnknownReason != "":
		return http.StatusGatewayTimeout
	case len(result.Violations) > 0:
		return http.StatusBadRequest
	case len(result.VersionConflicts)+len(result.ReuseConflicts) > 0:
		return http.StatusConflict
	case len(result.MissingItems) > 0:
		return http.StatusNotFound
	}
	return http.StatusOK
}
