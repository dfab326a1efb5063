package api

import (
	"crypto/rand"
	"net/http"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/registry"
	"dunlinwell/internal/state/configuration"
)

// headerChangeID is the header with the id of a change.
const headerChangeID = "Change-Id"

// RevisionPath answers with the revision that a registry knows, which may be old. An id
// of a change is made from it (NewChangeIDAt), so that copies of the change can be told
// from new ones at any later time.
const RevisionPath = "/v1/revision"

// Revision is the answer of RevisionPath.
type Revision struct {
	Revision ids.Revision `json:"revision"`
}

// NewChangeID makes an id for a change whose sender couldn't learn the revision.
func NewChangeID() string { return "auto-" + rand.Text() }

// NewChangeIDAt makes an id for a change whose sender has read a revision.
func NewChangeIDAt(base ids.Revision) string {
	return configuration.ChangeIDAt(base, rand.Text())
}

// newChangeID makes an id for a change that was sent without one.
func (s *Server) newChangeID() string {
	if revision, ok := s.knownRevision(); ok {
		return NewChangeIDAt(revision)
	}
	return NewChangeID()
}

// knownRevision gives the revision that the registry knows, if it answers.
func (s *Server) knownRevision() (ids.Revision, bool) {
	response := s.Do(func(id uint64) any { return registry.ReadConfigurationCall{ID: id, Local: true} })
	document, ok := response.Body.(*configuration.Document)
	if !ok {
		return 0, false
	}
	return document.Revision, true
}

func (s *Server) getRevision(rw http.ResponseWriter, _ *http.Request) {
	revision, ok := s.knownRevision()
	if !ok {
		WriteError(rw, http.StatusServiceUnavailable, "the registry doesn't answer")
		return
	}
	WriteResponse(rw, registry.Response{Status: http.StatusOK, Body: Revision{revision}})
}
