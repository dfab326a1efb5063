package simulator

import (
	"math"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/registry"
	"dunlinwell/internal/state/configuration"
)

// Operation is one call on the configuration's register as its caller saw it: a change or a read. A
// change whose outcome its caller never learned may take effect at any time, or never.
type Operation struct {
	Change   bool
	Name     string
	Called   ids.Time
	Returned ids.Time
	Known    bool
	// Revision is the one that an accepted change made, or that a read returned.
	Revision ids.Revision
	// Content is what a read returned.
	Content string
}

// farFuture is when an operation without a known outcome counts as returned.
const farFuture = ids.Time(math.MaxInt64)

// history gathers the operations of a run, for a test of linearizability. Those that surely had no
// effect, and reads that were never answered, are left out.
type history struct {
	entries []*Operation
	open    map[string]*Operation
}

// begin records a change when it is first sent. Later copies belong to the same operation.
func (h *history) begin(now ids.Time, id string) {
	if h.open == nil {
		h.open = map[string]*Operation{}
	}
	if h.open[id] == nil {
		h.open[id] = &Operation{Change: true, Name: id, Called: now, Returned: farFuture}
		h.entries = append(h.entries, h.open[id])
	}
}

// accepted records that the caller of a change learned the revision it made.
func (h *history) accepted(now ids.Time, id string, revision ids.Revision) {
	if operation := h.open[id]; operation != nil && !operation.Known {
		operation.Returned, operation.Known, operation.Revision = now, true, revision
	}
}

// rejected removes a change that surely had no effect.
func (h *history) rejected(id string) {
	operation := h.open[id]
	for i, x := range h.entries {
		if x == operation && operation != nil {
			h.entries = append(h.entries[:i], h.entries[i+1:]...)
			return
		}
	}
}

// read records what a read returned.
func (h *history) read(called, now ids.Time, reader string, response registry.Response) {
	if document, ok := response.Body.(*configuration.Document); ok {
		h.entries = append(h.entries, &Operation{Name: reader, Called: called, Returned: now, Known: true, Revision: document.Revision, Content: string(encodeConfiguration(document))})
	}
}

// operations returns the whole history.
func (h *history) operations() []Operation {
	var out []Operation
	for _, operation := range h.entries {
		out = append(out, *operation)
	}
	return out
}
