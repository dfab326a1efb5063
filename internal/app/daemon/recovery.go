package daemon

import (
	"net/http"
	"time"

	"github.com/tidwall/gjson"

	"dunlinwell/internal/app/api"
	"dunlinwell/internal/controlplane/registry"
	"dunlinwell/internal/controlplane/store"
)

// recoveryTimeout is how long a caller waits for the machine, which answers within
// its next steps.
const recoveryTimeout = 2 * time.Second

// recoveryStarted is the body of the answer to a recovery that was begun.
type recoveryStarted struct {
	Refounding bool `json:"refounding"`
}

// handleRecovery answers the one control call that a store answers by itself, since no
// majority is left to ask: to go on alone after the other disks were lost.
func (d *storeDaemon) handleRecovery(rw http.ResponseWriter, r *http.Request) {
	raw, ok := api.ReadBody(rw, r)
	if !ok {
		return
	}
	if gjson.GetBytes(raw, "accept_loss").Type != gjson.True {
		api.WriteError(rw, http.StatusBadRequest, "accept_loss must be true: what only the lost disks held is lost")
		return
	}
	d.owner.Put(store.RecoverRequest{})
	select {
	case response := <-d.recoverResponses:
		if response.Rejection != "" {
			api.WriteError(rw, http.StatusConflict, "declined: "+response.Rejection)
			return
		}
		api.WriteResponse(rw, registry.Response{Status: http.StatusOK, Body: recoveryStarted{true}})
	case <-time.After(recoveryTimeout):
		api.WriteError(rw, http.StatusGatewayTimeout, "uncertain: the store didn't answer in time")
	}
}
