package daemon

import (
	"net/http"
	"sync/atomic"

	"dunlinwell/internal/app/api"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/registry"
)

// liveness is the body of /healthz.
type liveness struct {
	Alive bool `json:"alive"`
}

// memberHealth is the body of /readyz of a registry or store.
type memberHealth struct {
	Ready    bool `json:"ready"`
	Stopping bool `json:"stopping"`
}

// HandleHealth adds /healthz, which always answers 200, and /readyz, which answers 200 or
// 503. ready reports whether the daemon is ready, and returns the body of /readyz.
func HandleHealth(mux *http.ServeMux, ready func() (bool, any)) {
	mux.HandleFunc("GET /healthz", func(rw http.ResponseWriter, _ *http.Request) {
		api.WriteResponse(rw, registry.Response{Status: http.StatusOK, Body: liveness{true}})
	})
	mux.HandleFunc("GET /readyz", func(rw http.ResponseWriter, _ *http.Request) {
		ok, body := ready()
		status := http.StatusOK
		if !ok {
			status = http.StatusServiceUnavailable
		}
		api.WriteResponse(rw, registry.Response{Status: status, Body: body})
	})
}

// handleMemberHealth adds the health endpoints of a daemon whose readiness is that of its
// own entry in the membership list.
func handleMemberHealth(mux *http.ServeMux, self func() (membership.Member, bool), stopping *atomic.Bool) {
	HandleHealth(mux, func() (bool, any) {
		member, _ := self()
		health := memberHealth{Ready: member.Ready, Stopping: stopping.Load()}
		return health.Ready && !health.Stopping, health
	})
}
