package registry

import (
	"encoding/json"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/consensus"
	"dunlinwell/internal/state/policy"
)

func (f *Registry) change(now ids.Time, c ChangeCall) {
	// Faults that the words alone show need no round.
	if ch, faults := policy.ReadChange(c.Raw); len(faults) > 0 {
		f.Emit(Response{ID: c.ID, Status: 400, Body: policy.Result{ID: ch.ID, Faults: faults}})
		return
	}
	f.agree(now, c.ID, policy.OpChange, c.Raw, f.answerResult(c.ID))
}

func (f *Registry) merge(now ids.Time, c MergeCall) {
	if faults := c.Body.Check(); len(faults) > 0 {
		f.Emit(Response{ID: c.ID, Status: 400, Body: policy.Result{Faults: faults}})
		return
	}
	raw, err := json.Marshal(c.Body)
	if err != nil {
		f.Emit(Response{ID: c.ID, Status: 400, Body: Problem{err.Error()}})
		return
	}
	f.agree(now, c.ID, policy.OpMerge, raw, f.answerResult(c.ID))
}

// agree has a change of the policy agreed on under the control lease. Its caller
// is answered here, unless there is a result: settle answers that.
func (f *Registry) agree(now ids.Time, id uint64, op consensus.Op, raw []byte, settle settleFunc) {
	f.underLease(now, id, func(now ids.Time) { f.beginChange(now, id, op, raw, settle) })
}

// settleFunc answers a call by the result that was agreed on.
type settleFunc func(now ids.Time, r policy.Result)

func (f *Registry) beginChange(now ids.Time, id uint64, op consensus.Op, raw []byte, settle settleFunc) {
	f.await(now, len(raw), f.Client.Call(now, policy.Key, op, raw, CallWait(len(raw)), func(now ids.Time, s consensus.State, out []byte) {
		var r policy.Result
		switch {
		case s == consensus.Declined:
			f.unavailable(id)
		case s != consensus.Done || json.Unmarshal(out, &r) != nil:
			f.Emit(Response{ID: id, Status: 504, Body: Problem{"uncertain: the change may have been accepted; send it again under the same id"}, Retry: 1})
		default:
			settle(now, r)
		}
	}))
}

// answerResult answers a call with what came of it.
func (f *Registry) answerResult(id uint64) func(ids.Time, policy.Result) {
	return func(_ ids.Time, r policy.Result) {
		for _, c := range r.Conflicts {
			f.Log("warn", "number used twice", "item", c.Item, "path", c.Path)
		}
		f.Emit(Response{ID: id, Status: statusOf(r), Body: r})
	}
}

func statusOf(r policy.Result) int {
	switch {
	case r.Unknown != "":
		return 504
	case len(r.Faults) > 0:
		return 400
	case len(r.Stale)+len(r.Conflicts) > 0:
		return 409
	case len(r.Missing) > 0:
		return 404
	}
	return 200
}
