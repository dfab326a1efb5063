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

// ErrInvalidVersion is returned for an If-Match header that isn't the version of an item.
var ErrInvalidVersion = errors.New("If-Match must be an item's version")

// mergePath accepts items whose versions are set by the caller.
const mergePath = "/v1/merge"

// versionBits is the maximum size of a version, in bits. It fits a signed integer.
const versionBits = 62

// The actions of an ItemChange in JSON.
const (
	actionPut    = "put"
	actionRemove = "remove"
	actionSet    = "set"
)

// zoneStates maps the actions under /v1/cells/NAME to the fields that they set on a zone.
// emptied drains the zone; shut evacuates only its targets.
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

// submitChange passes a change to the registry and writes the result as the answer.
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
	// buildChange embeds the body in other JSON; an invalid body could alter the structure of
	// that JSON.
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
		writeNotFound(rw, r)
		return
	}
	s.submitItemChange(rw, r, kindZone, actionSet, []byte(state))
}

// submitItemChange submits a change of the item that the path names.
func (s *Server) submitItemChange(rw http.ResponseWriter, r *http.Request, kind, action string, body []byte) {
	raw, err := s.buildChange(r, kind, action, body)
	if err != nil {
		WriteError(rw, http.StatusBadRequest, err.Error())
		return
	}
	s.submitChange(rw, raw)
}

// buildChange returns the JSON of a change of one item, with the change ID and the expected
// version from the headers. The JSON is assembled as text, because encoding would reformat
// the body, which is stored as sent. The error may be ErrInvalidVersion.
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

// expectedVersion returns the version in the If-Match header without its quotes, or the
// empty string if there is none.
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
