package registry

import (
	"encoding/json"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/configuration"
	"dunlinwell/internal/state/consensus"
)

func (r *Registry) handleChange(now ids.Time, call ChangeCall) {
	// Faults that the words alone show need no round.
	if change, violations := configuration.ReadChange(call.Raw); len(violations) > 0 {
		r.Emit(Response{ID: call.ID, Status: 400, Body: configuration.Result{ID: change.ID, Violations: violations}})
		return
	}
	r.submitChange(now, call.ID, configuration.OpChange, call.Raw, r.replyWithResult(call.ID))
}

func (r *Registry) handleMerge(now ids.Time, call MergeCall) {
	if violations := call.Body.Check(); len(violations) > 0 {
		r.Emit(Response{ID: call.ID, Status: 400, Body: configuration.Result{Violations: violations}})
		return
	}
	raw, err := json.Marshal(call.Body)
	if err != nil {
		r.Emit(Response{ID: call.ID, Status: 400, Body: ErrorResponse{err.Error()}})
		return
	}
	r.submitChange(now, call.ID, configuration.OpMerge, raw, r.replyWithResult(call.ID))
}

// submitChange has a change of the configuration agreed on under the control lease. Its caller
// is answered here, unless there is a result: settle answers that.
func (r *Registry) submitChange(now ids.Time, id uint64, op consensus.Op, raw []byte, handleResult resultHandler) {
	r.withLease(now, id, func(now ids.Time) { r.startChange(now, id, op, raw, handleResult) })
}

// resultHandler answers a call by the result that was agreed on.
type resultHandler func(now ids.Time, r configuration.Result)

func (r *Registry) startChange(now ids.Time, id uint64, op consensus.Op, raw []byte, handleResult resultHandler) {
	r.trackPendingCall(now, len(raw), r.Client.Call(now, configuration.Key, op, raw, CallTimeout(len(raw)), func(now ids.Time, outcome consensus.Outcome, out []byte) {
		var result configuration.Result
		switch {
		case outcome == consensus.Rejected:
			r.replyUnavailable(id)
		case outcome != consensus.Succeeded || json.Unmarshal(out, &result) != nil:
			r.Emit(Response{ID: id, Status: 504, Body: ErrorResponse{"uncertain: the change may have been accepted; send it again under the same id"}, RetryAfter: 1})
		default:
			handleResult(now, result)
		}
	}))
}

// replyWithResult answers a call with what came of it.
func (r *Registry) replyWithResult(id uint64) func(ids.Time, configuration.Result) {
	return func(_ ids.Time, result configuration.Result) {
		for _, c := range result.ReuseConflicts {
			r.Log(event.LevelWarn, "number used twice", "item", c.Item, "path", c.Path)
		}
		r.Emit(Response{ID: id, Status: httpStatus(result), Body: result})
	}
}

func httpStatus(result configuration.Result) int {
	switch {
	case result.UnknownReason != "":
		return 504
	case len(result.Violations) > 0:
		return 400
	case len(result.VersionConflicts)+len(result.ReuseConflicts) > 0:
		return 409
	case len(result.MissingItems) > 0:
		return 404
	}
	return 200
}
