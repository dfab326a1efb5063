package api

import (
	"crypto/rand"
	"net/http"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/registry"
	"dunlinwell/internal/state/configuration"
)

// RevisionPath gives the revision that a registry knows, which may be old. The
// id of a change says it, so that copies of the change can be told from new ones
// at any later time.
const RevisionPath = "/v1/revision"

// Revision is the body of that page.
type Revision struct {
	Revision ids.Revision `json:"revision"`
}

// knownRevision gives the revision that the registry knows, if it answers.
func (s *Server) knownRevision() (ids.Revision, bool) {
	rep := s.Do(func(id uint64) any { return registry.ReadConfigurationCall{ID: id, Local: true} })
	p, ok := rep.Body.(*configuration.Document)
	if !ok {
		return 0, false
	}
	return p.Revision, true
}

// newChangeID makes an id for a change whose caller gave none.
func (s *Server) newChangeID() string {
	if known, ok := s.knownRevision(); ok {
		return NewChangeIDAt(known)
	}
	return NewChangeID()
}

func (s *Server) getRevision(rw http.ResponseWriter, _ *http.Request) {
	known, ok := s.knownRevision()
	if !ok {
		WriteError(rw, 503, "the registry doesn't answer")
		return
	}
	WriteResponse(rw, registry.Response{Status: 200, Body: Revision{known}})
}

// NewChangeID makes an id for a change whose maker couldn't learn the revision.
func NewChangeID() string { return "auto-" + rand.Text() }

// NewChangeIDAt makes an id for a change whose maker has read a revision.
func NewChangeIDAt(base ids.Revision) string {
	return string(configuration.ChangeIDAt(base, rand.Text()))
}
