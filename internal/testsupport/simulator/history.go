package simulator

import (
	"math"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/registry"
	"dunlinwell/internal/state/configuration"
)

// Operation is one call on the configuration register as observed by its caller: a change or a
// read. A change with an unknown outcome may take effect at any time after the call, or never.
type Operation struct {
	Change       bool
	Name         string
	Called       ids.Time
	Returned     ids.Time
	OutcomeKnown bool
	// Revision is the revision that an accepted change created or a read returned.
	Revision ids.Revision
	// Content is the configuration that a read returned.
	Content string
}

// farFuture is the return time of an operation whose outcome is unknown.
const farFuture = ids.Time(math.MaxInt64)

// history collects the operations of a run for linearizability checks. It omits changes that
// certainly had no effect and reads without a response.
type history struct {
	entries []*Operation
	open    map[string]*Operation
}

// begin records a change when it is first sent. Retries belong to the same operation.
func (h *history) begin(now ids.Time, id string) {
	if h.open == nil {
		h.open = map[string]*Operation{}
	}
	if h.open[id] == nil {
		h.open[id] = &Operation{Change: true, Name: id, Called: now, Returned: farFuture}
		h.entries = append(h.entries, h.open[id])
	}
}

// accepted records that the caller of a change received the revision that it created.
func (h *history) accepted(now ids.Time, id string, revision ids.Revision) {
	if operation := h.open[id]; operation != nil && !operation.OutcomeKnown {
		operation.Returned, operation.OutcomeKnown, operation.Revision = now, true, revision
	}
}

// rejected removes a change that certainly had no effect.
func (h *history) rejected(id string) {
	operation := h.open[id]
	for i, x := range h.entries {
		if x == operation && operation != nil {
			h.entries = append(h.entries[:i], h.entries[i+1:]...)
			return
		}
	}
}

// read records the result of a read.
func (h *history) read(called, now ids.Time, reader string, response registry.Response) {
	if document, ok := response.Body.(*configuration.Document); ok {
		h.entries = append(h.entries, &Operation{Name: reader, Called: called, Returned: now, OutcomeKnown: true, Revision: document.Revision, Content: string(encodeConfiguration(document))})
	}
}

// operations returns all recorded operations.
func (h *history) operations() []Operation {
	var out []Operation
	for _, operation := range h.entries {
		out = append(out, *operation)
	}
	return out
}
