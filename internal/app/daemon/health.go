package daemon

import (
	"net/http"
	"sync/atomic"

	"dunlinwell/internal/app/api"
	"dunlinwell/internal/controlplane/membership"
	"dunlinwell/internal/controlplane/registry"
)

// alive is the body of /healthz.
type alive struct {
	Alive bool `json:"alive"`
}

// memberHealth is the body of /readyz of a registry or store.
type memberHealth struct {
	Ready    bool `json:"ready"`
	Stopping bool `json:"stopping"`
}

// HandleHealth adds /healthz, which is always 200, and /readyz, which is 200 or 503.
// The function gives whether the daemon is ready, and the body of /readyz.
func HandleHealth(mux *http.ServeMux, ready func() (bool, any)) {
	mux.HandleFunc("GET /healthz", func(rw http.ResponseWriter, _ *http.Request) {
		api.WriteResponse(rw, registry.Response{Status: http.StatusOK, Body: alive{true}})
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

// handleMemberHealth adds the health pages of a daemon that is ready when its own entry
// in the membership list says so.
func handleMemberHealth(mux *http.ServeMux, self func() (membership.Member, bool), stopping *atomic.Bool) {
	HandleHealth(mux, func() (bool, any) {
		member, _ := self()
		health := memberHealth{Ready: member.Ready, Stopping: stopping.Load()}
		return health.Ready && !health.Stopping, health
	})
}
