package cli

import (
	"net/http"
	"net/url"
)

// ZoneCmd holds the flags of the commands that change a zone's state.
type ZoneCmd struct {
	Name string `arg:"" name:"name"`
	ChangeFlags
}

// submitAction requests an action of the API on the zone.
func (z *ZoneCmd) submitAction(c *Context, action string) error {
	return c.submitChange(http.MethodPost, "/v1/cells/"+url.PathEscape(z.Name)+"/"+action, nil, z.headers())
}

// DrainZoneCmd drains a zone.
type DrainZoneCmd struct{ ZoneCmd }

// Run runs the command.
func (d *DrainZoneCmd) Run(c *Context) error { return d.submitAction(c, "empty") }

// RestoreZoneCmd returns a drained zone to service.
type RestoreZoneCmd struct{ ZoneCmd }

// Run runs the command.
func (r *RestoreZoneCmd) Run(c *Context) error { return r.submitAction(c, "refill") }

// EvacuateZoneCmd stops requests to a zone's targets, while its proxies keep serving.
type EvacuateZoneCmd struct{ ZoneCmd }

// Run runs the command.
func (e *EvacuateZoneCmd) Run(c *Context) error { return e.submitAction(c, "shut") }

// EndEvacuationCmd allows requests to the targets of an evacuated zone again.
type EndEvacuationCmd struct{ ZoneCmd }

// Run runs the command.
func (e *EndEvacuationCmd) Run(c *Context) error { return e.submitAction(c, "open") }
