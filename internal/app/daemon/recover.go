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

// refound takes the one control call that a store answers by itself, since
// there is no majority to ask.
func refound(rw http.ResponseWriter, r *http.Request, owner *process.Owner, orders <-chan store.RecoverResponse) {
	raw, ok := api.Body(rw, r)
	if !ok {
		return
	}
	if gjson.GetBytes(raw, "accept_loss").Type != gjson.True {
		api.Say(rw, 400, "accept_loss must be true: what only the lost disks held is lost")
		return
	}
	owner.Put(store.RecoverRequest{})
	select {
	case a := <-orders:
		if a.Rejection != "" {
			api.Say(rw, 409, "declined: "+a.Rejection)
			return
		}
		api.Write(rw, registry.Response{Status: 200, Body: map[string]bool{"refounding": true}})
	case <-time.After(2 * time.Second):
		api.Say(rw, 504, "uncertain: the store didn't answer in time")
	}
}
