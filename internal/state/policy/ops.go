package policy

import (
	"encoding/json"

	"dunlinwell/internal/state/consensus"
)

// OpChange applies a checked change to the policy.
const OpChange consensus.Op = 1

// Ops are the change functions of the policy, for one proposer alone.
func Ops() map[consensus.Op]consensus.ChangeFunc {
	c := &changer{}
	return map[consensus.Op]consensus.ChangeFunc{
		OpChange:    c.change(OpChange, changeStep),
		OpMerge:     c.change(OpMerge, mergeStep),
		OpOrderCell: c.change(OpOrderCell, orderCellStep),
	}
}

func changeStep(p *Policy, arg []byte) (*Policy, Result, bool) {
	change, faults := ReadChange(arg)
	if len(faults) > 0 {
		return p, Result{ID: change.ID, Revision: p.Revision, Faults: faults}, true
	}
	next, res := p.Apply(change)
	return next, res, true
}

func mergeStep(p *Policy, arg []byte) (*Policy, Result, bool) {
	var m Merge
	if json.Unmarshal(arg, &m) != nil {
		return p, Result{}, false
	}
	next, res := p.Merge(m)
	return next, res, true
}
