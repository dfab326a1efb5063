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

// submitAction asks for an action of the API on the zone.
func (z *ZoneCmd) submitAction(c *Context, action string) error {
	return c.submitChange(http.MethodPost, "/v1/cells/"+url.PathEscape(z.Name)+"/"+action, nil, z.headers())
}

// DrainZoneCmd takes a zone out of new work.
type DrainZoneCmd struct{ ZoneCmd }

// Run runs the command.
func (d *DrainZoneCmd) Run(c *Context) error { return d.submitAction(c, "empty") }

// RestoreZoneCmd brings a drained zone back.
type RestoreZoneCmd struct{ ZoneCmd }

// Run runs the command.
func (r *RestoreZoneCmd) Run(c *Context) error { return r.submitAction(c, "refill") }

// EvacuateZoneCmd sends no more work to a zone's targets, while its proxies go on.
type EvacuateZoneCmd struct{ ZoneCmd }

// Run runs the command.
func (e *EvacuateZoneCmd) Run(c *Context) error { return e.submitAction(c, "shut") }

// EndEvacuationCmd lets work go to a zone's targets again.
type EndEvacuationCmd struct{ ZoneCmd }

// Run runs the command.
func (e *EndEvacuationCmd) Run(c *Context) error { return e.submitAction(c, "open") }
