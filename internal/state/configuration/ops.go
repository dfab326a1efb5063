package configuration

import (
	"encoding/json"

	"dunlinwell/internal/state/consensus"
)

// OpChange applies a checked change to the configuration.
const OpChange consensus.Op = 1

// Ops are the change functions of the configuration, for one proposer alone.
func Ops() map[consensus.Op]consensus.ChangeFunc {
	c := &cachedDocument{}
	return map[consensus.Op]consensus.ChangeFunc{
		OpChange:    c.changeFunc(OpChange, changeStep),
		OpMerge:     c.changeFunc(OpMerge, mergeStep),
		OpOrderZone: c.changeFunc(OpOrderZone, orderZoneStep),
	}
}

func changeStep(p *Document, arg []byte) (*Document, Result, bool) {
	change, faults := ReadChange(arg)
	if len(faults) > 0 {
		return p, Result{ID: change.ID, Revision: p.Revision, Violations: faults}, true
	}
	next, res := p.Apply(change)
	return next, res, true
}

func mergeStep(p *Document, arg []byte) (*Document, Result, bool) {
	var m Merge
	if json.Unmarshal(arg, &m) != nil {
		return p, Result{}, false
	}
	next, res := p.Merge(m)
	return next, res, true
}
