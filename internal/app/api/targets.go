package api

import (
	"fmt"
	"net/http"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/registry"
	"dunlinwell/internal/controlplane/targets"
)

// announcementRejected is the answer to an invalid announcement. Violations maps the path
// of each invalid field to the reason.
type announcementRejected struct {
	Violations map[string]string `json:"errors"`
	Message    string            `json:"problem"`
}

// announce handles a target's heartbeat.
func (s *Server) announce(rw http.ResponseWriter, r *http.Request) {
	raw, ok := ReadBody(rw, r)
	if !ok {
		return
	}
	target, violations := targets.ParseAnnouncement(raw)
	if len(violations) > 0 {
		if s.Log != nil {
			s.Log(event.LevelWarn, logAnnouncementRejected, "peer", r.RemoteAddr, "violations", fmt.Sprint(violations))
		}
		body := announcementRejected{Violations: violations, Message: "announcement declined"}
		WriteResponse(rw, registry.Response{Status: http.StatusBadRequest, Body: body})
		return
	}
	WriteResponse(rw, s.Do(func(id uint64) any { return registry.HeartbeatCall{ID: id, Target: target} }))
}

// resolve answers which proxies a client in a zone should connect to for a route.
func (s *Server) resolve(rw http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	zone, route := ids.Name(query.Get("cell")), ids.Name(query.Get("route"))
	if route == "" || zone == "" {
		WriteError(rw, http.StatusBadRequest, "route and cell must be given")
		return
	}
	WriteResponse(rw, s.Do(func(id uint64) any { return registry.ResolveCall{ID: id, Zone: zone, Route: route} }))
}
