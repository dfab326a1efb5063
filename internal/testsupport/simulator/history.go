package simulator

import (
	"math"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/registry"
	"dunlinwell/internal/state/configuration"
)

// Operation is one call on the configuration's register as its caller saw it: a change,
// or a reading. A change whose end its caller never learned may take effect at
// any time, or never.
type Operation struct {
	Change   bool
	Name     string
	Called   ids.Time
	Returned ids.Time
	Known    bool
	// Revision is the one that an accepted change made, or that a reading gave.
	Revision ids.Revision
	// Content is what a reading gave.
	Content string
}

const farFuture = ids.Time(math.MaxInt64)

// history gathers the operations of a run. Those that surely had no effect, and
// readings that were never answered, are left out.
type history struct {
	list []*Operation
	open map[string]*Operation
}

// begin notes a change as it is first sent; later copies are the same operation.
func (h *history) begin(now ids.Time, id string) {
	if h.open == nil {
		h.open = map[string]*Operation{}
	}
	if h.open[id] == nil {
		h.open[id] = &Operation{Change: true, Name: id, Called: now, Returned: farFuture}
		h.list = append(h.list, h.open[id])
	}
}

// accepted notes that a change's caller was told the revision it made.
func (h *history) accepted(now ids.Time, id string, r ids.Revision) {
	if o := h.open[id]; o != nil && !o.Known {
		o.Returned, o.Known, o.Revision = now, true, r
	}
}

// rejected notes that a change surely had no effect.
func (h *history) rejected(id string) {
	o := h.open[id]
	for i, x := range h.list {
		if x == o && o != nil {
			h.list = append(h.list[:i], h.list[i+1:]...)
			return
		}
	}
}

// read notes what a reading gave.
func (h *history) read(called, now ids.Time, who string, rep registry.Response) {
	if p, ok := rep.Body.(*configuration.Document); ok {
		h.list = append(h.list, &Operation{Name: who, Called: called, Returned: now, Known: true, Revision: p.Revision, Content: string(page(p))})
	}
}

// operations gives the whole history.
func (h *history) operations() []Operation {
	var out []Operation
	for _, o := range h.list {
		out = append(out, *o)
	}
	return out
}
