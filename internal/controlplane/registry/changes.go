package registry

import (
	"encoding/json"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/configuration"
	"dunlinwell/internal/state/consensus"
)

func (f *Registry) change(now ids.Time, c ChangeCall) {
	// Faults that the words alone show need no round.
	if ch, faults := configuration.ReadChange(c.Raw); len(faults) > 0 {
		f.Emit(Response{ID: c.ID, Status: 400, Body: configuration.Result{ID: ch.ID, Violations: faults}})
		return
	}
	f.agree(now, c.ID, configuration.OpChange, c.Raw, f.answerResult(c.ID))
}

func (f *Registry) merge(now ids.Time, c MergeCall) {
	if faults := c.Body.Check(); len(faults) > 0 {
		f.Emit(Response{ID: c.ID, Status: 400, Body: configuration.Result{Violations: faults}})
		return
	}
	raw, err := json.Marshal(c.Body)
	if err != nil {
		f.Emit(Response{ID: c.ID, Status: 400, Body: ErrorResponse{err.Error()}})
		return
	}
	f.agree(now, c.ID, configuration.OpMerge, raw, f.answerResult(c.ID))
}

// agree has a change of the configuration agreed on under the control lease. Its caller
// is answered here, unless there is a result: settle answers that.
func (f *Registry) agree(now ids.Time, id uint64, op consensus.Op, raw []byte, settle settleFunc) {
	f.underLease(now, id, func(now ids.Time) { f.beginChange(now, id, op, raw, settle) })
}

// settleFunc answers a call by the result that was agreed on.
type settleFunc func(now ids.Time, r configuration.Result)

func (f *Registry) beginChange(now ids.Time, id uint64, op consensus.Op, raw []byte, settle settleFunc) {
	f.await(now, len(raw), f.Client.Call(now, configuration.Key, op, raw, CallWait(len(raw)), func(now ids.Time, s consensus.Outcome, out []byte) {
		var r configuration.Result
		switch {
		case s == consensus.Rejected:
			f.unavailable(id)
		case s != consensus.Succeeded || json.Unmarshal(out, &r) != nil:
			f.Emit(Response{ID: id, Status: 504, Body: ErrorResponse{"uncertain: the change may have been accepted; send it again under the same id"}, RetryAfter: 1})
		default:
			settle(now, r)
		}
	}))
}

// answerResult answers a call with what came of it.
func (f *Registry) answerResult(id uint64) func(ids.Time, configuration.Result) {
	return func(_ ids.Time, r configuration.Result) {
		for _, c := range r.Conflicts {
			f.Log(event.LevelWarn, "number used twice", "item", c.Item, "path", c.Path)
		}
		f.Emit(Response{ID: id, Status: statusOf(r), Body: r})
	}
}

func statusOf(r configuration.Result) int {
	switch {
	case r.Unknown != "":
		return 504
	case len(r.Violations) > 0:
		return 400
	case len(r.Stale)+len(r.Conflicts) > 0:
		return 409
	case len(r.Missing) > 0:
		return 404
	}
	return 200
}
