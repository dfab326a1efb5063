package api

import (
	"crypto/rand"
	"net/http"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/registry"
	"dunlinwell/internal/state/configuration"
)

// headerChangeID is the header with the ID of a change.
const headerChangeID = "Change-Id"

// RevisionPath returns the revision of the registry's local configuration, which may be
// stale. Change IDs include it (NewChangeIDAt), so that copies of a change can be
// distinguished from new changes at any later time.
const RevisionPath = "/v1/revision"

// Revision is the answer of RevisionPath.
type Revision struct {
	Revision ids.Revision `json:"revision"`
}

// NewChangeID returns a random ID for a change whose sender couldn't read the revision.
func NewChangeID() string { return "auto-" + rand.Text() }

// NewChangeIDAt returns a random ID for a change whose sender has read the revision base.
func NewChangeIDAt(base ids.Revision) string {
	return configuration.ChangeIDAt(base, rand.Text())
}

// newChangeID returns an ID for a change that was sent without one.
func (s *Server) newChangeID() string {
	if revision, ok := s.localRevision(); ok {
		return NewChangeIDAt(revision)
	}
	return NewChangeID()
}

// localRevision returns the revision of the registry's local configuration, and false if
// the registry doesn't respond.
func (s *Server) localRevision() (ids.Revision, bool) {
	response := s.Do(func(id uint64) any { return registry.ReadConfigurationCall{ID: id, Local: true} })
	document, ok := response.Body.(*configuration.Document)
	if !ok {
		return 0, false
	}
	return document.Revision, true
}

func (s *Server) getRevision(rw http.ResponseWriter, _ *http.Request) {
	revision, ok := s.localRevision()
	if !ok {
		WriteError(rw, http.StatusServiceUnavailable, "the registry doesn't answer")
		return
	}
	WriteResponse(rw, registry.Response{Status: http.StatusOK, Body: Revision{revision}})
}
