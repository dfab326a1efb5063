package daemon

import (
	"net/http"
	"time"

	"github.com/tidwall/gjson"

	"dunlinwell/internal/app/api"
	"dunlinwell/internal/controlplane/registry"
	"dunlinwell/internal/controlplane/store"
	"dunlinwell/internal/transport/process"
)

// handleRecovery takes the one control call that a store answers by itself, since
// there is no majority to ask.
func handleRecovery(rw http.ResponseWriter, r *http.Request, owner *process.Owner, responses <-chan store.RecoverResponse) {
	raw, ok := api.ReadBody(rw, r)
	if !ok {
		return
	}
	if gjson.GetBytes(raw, "accept_loss").Type != gjson.True {
		api.WriteError(rw, 400, "accept_loss must be true: what only the lost disks held is lost")
		return
	}
	owner.Put(store.RecoverRequest{})
	select {
	case a := <-responses:
		if a.Rejection != "" {
			api.WriteError(rw, 409, "declined: "+a.Rejection)
			return
		}
		api.WriteResponse(rw, registry.Response{Status: 200, Body: map[string]bool{"refounding": true}})
	case <-time.After(2 * time.Second):
		api.WriteError(rw, 504, "uncertain: the store didn't answer in time")
	}
}
