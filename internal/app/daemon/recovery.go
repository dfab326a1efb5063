package daemon

import (
	"net/http"
	"time"

	"github.com/tidwall/gjson"

	"dunlinwell/internal/app/api"
	"dunlinwell/internal/controlplane/registry"
	"dunlinwell/internal/controlplane/store"
)

// recoveryTimeout is how long a call waits for the response of the store's state machine.
const recoveryTimeout = 2 * time.Second

// recoveryStarted is the answer to a recovery request that was accepted.
type recoveryStarted struct {
	Refounding bool `json:"refounding"`
}

// handleRecovery starts the recovery of a fleet that has permanently lost its majority. It is
// the only control call that a store handles itself, because no registry could commit it.
func (d *storeDaemon) handleRecovery(rw http.ResponseWriter, r *http.Request) {
	raw, ok := api.ReadBody(rw, r)
	if !ok {
		return
	}
	if gjson.GetBytes(raw, "accept_loss").Type != gjson.True {
		api.WriteError(rw, http.StatusBadRequest, "accept_loss must be true: what only the lost disks held is lost")
		return
	}
	d.eventLoop.Put(store.RecoverRequest{})
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
