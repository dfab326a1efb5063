package api

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"dunlinwell/internal/base/errs"
	"dunlinwell/internal/controlplane/registry"
	"dunlinwell/internal/state/configuration"
)

// ErrInvalidVersion is the error of a header If-Match that names no item's version.
var ErrInvalidVersion = errors.New("If-Match must be an item's version")

// mergePath takes items with versions that their caller gives.
const mergePath = "/v1/merge"

// versionBits bounds a version, in bits: far beyond any, and within a signed integer.
const versionBits = 62

// The actions of an ItemChange in JSON.
const (
	actionPut    = "put"
	actionRemove = "remove"
	actionSet    = "set"
)

// zoneStates gives what each action under /v1/cells/NAME sets on a zone: drained, or
// only its targets evacuated.
var zoneStates = map[string]string{
	"empty":  `{"emptied":true}`,
	"refill": `{"emptied":false}`,
	"shut":   `{"shut":true}`,
	"open":   `{"shut":false}`,
}

func (s *Server) postChange(rw http.ResponseWriter, r *http.Request) {
	if raw, ok := ReadBody(rw, r); ok {
		s.submitChange(rw, raw)
	}
}

// submitChange hands a change to the registry and answers with the result.
func (s *Server) submitChange(rw http.ResponseWriter, raw []byte) {
	WriteResponse(rw, s.Do(func(id uint64) any { return registry.ChangeCall{ID: id, Raw: raw} }))
}

func (s *Server) postMerge(rw http.ResponseWriter, r *http.Request) {
	raw, ok := ReadBody(rw, r)
	if !ok {
		return
	}
	merge, violations := configuration.ReadMerge(raw)
	if len(violations) > 0 {
		writeViolations(rw, violations...)
		return
	}
	WriteResponse(rw, s.Do(func(id uint64) any { return registry.MergeCall{ID: id, Body: merge} }))
}

func writeViolations(rw http.ResponseWriter, violations ...configuration.Violation) {
	WriteResponse(rw, registry.Response{Status: http.StatusBadRequest, Body: configuration.Result{Violations: violations}})
}

func (s *Server) putItem(rw http.ResponseWriter, r *http.Request) {
	kind, ok := pathKind(rw, r)
	if !ok {
		return
	}
	body, ok := ReadBody(rw, r)
	if !ok {
		return
	}
	// A body that isn't valid by itself could close the JSON that it is put into.
	if !json.Valid(body) {
		writeViolations(rw, configuration.Violation{Item: kind + "/" + r.PathValue("name"), Reason: "is not valid JSON"})
		return
	}
	s.submitItemChange(rw, r, kind, actionPut, body)
}

func (s *Server) removeItem(rw http.ResponseWriter, r *http.Request) {
	if kind, ok := pathKind(rw, r); ok {
		s.submitItemChange(rw, r, kind, actionRemove, []byte("true"))
	}
}

func (s *Server) setZoneState(rw http.ResponseWriter, r *http.Request) {
	state, ok := zoneStates[r.PathValue("action")]
	if !ok {
		writeNoPage(rw, r)
		return
	}
	s.submitItemChange(rw, r, kindZone, actionSet, []byte(state))
}

// submitItemChange submits a change of the one item that the path names.
func (s *Server) submitItemChange(rw http.ResponseWriter, r *http.Request, kind, action string, body []byte) {
	raw, err := s.buildChange(r, kind, action, body)
	if err != nil {
		WriteError(rw, http.StatusBadRequest, err.Error())
		return
	}
	s.submitChange(rw, raw)
}

// buildChange writes a change of one item as JSON, with the id and the expected version
// that the headers give. It is put together as text, as encoding would rewrite the
// body, which is kept as it was sent. The error may be ErrInvalidVersion.
func (s *Server) buildChange(r *http.Request, kind, action string, body []byte) ([]byte, error) {
	name, err := json.Marshal(r.PathValue("name"))
	if err != nil {
		return nil, err
	}
	changeID := r.Header.Get(headerChangeID)
	if changeID == "" {
		changeID = s.newChangeID()
	}
	id, err := json.Marshal(changeID)
	if err != nil {
		return nil, err
	}
	version, err := expectedVersion(r)
	if err != nil {
		return nil, err
	}
	if version != "" {
		version = `,"version":` + version
	}
	return fmt.Appendf(nil, `{"id":%s,"changes":[{"kind":%q,"name":%s%s,%q:%s}]}`, id, kind, name, version, action, body), nil
}

// expectedVersion gives the version that the header If-Match names, as it was sent;
// empty without one.
func expectedVersion(r *http.Request) (string, error) {
	version := strings.Trim(r.Header.Get("If-Match"), `"`)
	if version == "" {
		return "", nil
	}
	if _, err := strconv.ParseUint(version, 10, versionBits); err != nil {
		return "", errs.Wrap(ErrInvalidVersion, "read header", "")
	}
	return version, nil
}
