package api

import (
	"crypto/rand"
	"net/http"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/registry"
	"dunlinwell/internal/state/policy"
)

// RevisionPage gives the revision that a registry knows, which may be old. The
// id of a change says it, so that copies of the change can be told from new ones
// at any later time.
const RevisionPage = "/v1/revision"

// Revision is the body of that page.
type Revision struct {
	Revision ids.Revision `json:"revision"`
}

// known gives the revision that the registry knows, if it answers.
func (w *Server) known() (ids.Revision, bool) {
	rep := w.Do(func(id uint64) any { return registry.PolicyCall{ID: id, Local: true} })
	p, ok := rep.Body.(*policy.Policy)
	if !ok {
		return 0, false
	}
	return p.Revision, true
}

// newChange makes an id for a change whose caller gave none.
func (w *Server) newChange() string {
	if known, ok := w.known(); ok {
		return NewChangeAt(known)
	}
	return NewChange()
}

func (w *Server) revision(rw http.ResponseWriter, _ *http.Request) {
	known, ok := w.known()
	if !ok {
		Say(rw, 503, "the registry doesn't answer")
		return
	}
	Write(rw, registry.Response{Status: 200, Body: Revision{known}})
}

// NewChange makes an id for a change whose maker couldn't learn the revision.
func NewChange() string { return "auto-" + rand.Text() }

// NewChangeAt makes an id for a change whose maker has read a revision.
func NewChangeAt(base ids.Revision) string { return string(policy.ChangeIDAt(base, rand.Text())) }
