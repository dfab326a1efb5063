package policy

import (
	"encoding/json"

	"github.com/tidwall/gjson"
	"github.com/tidwall/pretty"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/state/consensus"
)

// OpOrderCell shuts or opens a cell by an order that has no id.
const OpOrderCell consensus.Op = 3

// CellOrder asks that a cell's targets get nothing more, or that they get work
// again. Its copies can't be told from a later order of the same words, so one
// takes effect only on the version that the registry knew when it came in: a
// copy that is overtaken on its way does nothing.
type CellOrder struct {
	Cell   ids.Name     `json:"cell"`
	Region ids.Name     `json:"region"`
	Shut   bool         `json:"shut"`
	Known  ids.Revision `json:"known"`
}

// CellVersion gives the version that an order for a cell is to name: that of the
// cell, or of its removal.
func (p *Policy) CellVersion(cell ids.Name) ids.Revision {
	v, _ := p.version("cell", cell)
	return v
}

// OrderCell gives the policy after an order, or the same policy if the cell is as
// it asks already, or if the order is stale.
func (p *Policy) OrderCell(o CellOrder) (*Policy, Result) {
	have, exists := p.Cells[o.Cell]
	touched := Touched{Kind: "cell", Name: o.Cell, Version: have.Version}
	res := Result{Revision: p.Revision, Items: []Touched{touched}}
	if exists && gjson.GetBytes(have.Body, "shut").Bool() == o.Shut {
		return p, res
	}
	if now := p.CellVersion(o.Cell); now != o.Known {
		touched.Version = now
		return p, Result{Revision: p.Revision, Stale: []Stale{{touched, o.Known}}}
	}
	body, err := o.body(have, exists)
	if err != nil {
		return p, Result{Revision: p.Revision, Faults: []Fault{{"cell/" + string(o.Cell), "", err.Error()}}}
	}
	next := p.copy()
	res.Revision, res.Items[0].Version = next.Revision, max(next.Revision, o.Known+1)
	delete(next.Removed, "cell/"+string(o.Cell))
	next.Cells[o.Cell] = Item{Version: res.Items[0].Version, Body: pretty.Ugly(body), At: next.Revision,
		Merged: have.merged(), Given: have.Given || p.Removed["cell/"+string(o.Cell)].Given}
	return next, res
}

// body gives the cell as the order leaves it; what else was said of it stays.
func (o CellOrder) body(have Item, exists bool) ([]byte, error) {
	if exists {
		set, err := json.Marshal(map[string]bool{"shut": o.Shut})
		return overlay(have.Body, set), err
	}
	return json.Marshal(map[string]any{"region": o.Region, "shut": o.Shut})
}

func orderCellStep(p *Policy, arg []byte) (*Policy, Result, bool) {
	var o CellOrder
	if json.Unmarshal(arg, &o) != nil {
		return p, Result{}, false
	}
	next, res := p.OrderCell(o)
	return next, res, true
}
