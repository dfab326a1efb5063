package cli

import (
	"encoding/json"
	"fmt"
	"net/url"

	"dunlinwell/internal/app/api"
	"dunlinwell/internal/controlplane/registry"
	"dunlinwell/internal/state/configuration"
)

// ItemCommands are the commands on one kind of item.
type ItemCommands struct {
	List   ListCmd   `cmd:"" help:"List all, with their versions." name:"list"`
	Get    GetCmd    `cmd:"" help:"Show one." name:"get"`
	Put    PutCmd    `cmd:"" help:"Make one, or replace it whole." name:"put"`
	Remove RemoveCmd `cmd:"" help:"Remove one." name:"remove"`
}

// ItemKind is bound by the command that holds Items.
type ItemKind string

// ListCmd lists items.
type ListCmd struct {
	Local bool `help:"The registry's own copy, which may be old." name:"local"`
}

// Run lists.
func (l *ListCmd) Run(c *Context, k ItemKind) error {
	path := "/v1/" + string(k) + "s"
	if l.Local {
		path += "?local=true"
	}
	raw, err := c.Call("GET", path, nil, nil)
	if err != nil {
		return err
	}
	return c.Print(raw, func() error {
		list, err := decodeResponse[struct {
			Revision uint64
			Items    []api.Item
		}](raw)
		for _, it := range list.Items {
			fmt.Fprintf(c.Out, "%-24s version %-6d %s\n", it.Name, it.Version, it.Body)
		}
		return err
	})
}

// GetCmd shows an item.
type GetCmd struct {
	Name string `arg:"" name:"name"`
}

// Run shows.
func (g *GetCmd) Run(c *Context, k ItemKind) error {
	raw, err := c.Call("GET", "/v1/"+string(k)+"s/"+url.PathEscape(g.Name), nil, nil)
	if err != nil {
		return err
	}
	return c.Print(raw, func() error {
		it, err := decodeResponse[api.Item](raw)
		fmt.Fprintf(c.Out, "%s version %d %s\n", it.Name, it.Version, it.Body)
		return err
	})
}

// ChangeFlags are the flags of every change.
type ChangeFlags struct {
	Version  *uint64 `help:"Only if this is the item's version; 0 if it must not exist." name:"version"`
	ChangeID string  `help:"Id of the change; the same id gives the first result again." name:"change-id"`
}

func (g ChangeFlags) headers() map[string]string {
	return map[string]string{"If-Match": formatVersion(g.Version), "Change-Id": g.ChangeID}
}

// PutCmd puts an item.
type PutCmd struct {
	Name string `arg:"" name:"name"`
	File string `short:"f" help:"File with the JSON body; - for standard input." xor:"body" required:"" name:"file"`
	Body string `help:"The JSON body itself." xor:"body" required:"" name:"body"`
	ChangeFlags
}

// Run puts.
func (p *PutCmd) Run(c *Context, k ItemKind) error {
	body := []byte(p.Body)
	if p.File != "" {
		raw, err := readFile(p.File)
		if err != nil {
			return err
		}
		body = raw
	}
	return c.submitChange("PUT", "/v1/"+string(k)+"s/"+url.PathEscape(p.Name), body, p.headers())
}

// RemoveCmd removes an item.
type RemoveCmd struct {
	Name string `arg:"" name:"name"`
	ChangeFlags
}

// Run removes.
func (r *RemoveCmd) Run(c *Context, k ItemKind) error {
	return c.submitChange("DELETE", "/v1/"+string(k)+"s/"+url.PathEscape(r.Name), nil, r.headers())
}

// submitChange sends a change and shows what came of it.
func (c *Context) submitChange(method, path string, body []byte, head map[string]string) error {
	raw, err := c.Call(method, path, body, head)
	if err != nil {
		if c.JSON && len(raw) > 0 {
			fmt.Fprintln(c.Out, string(raw))
		}
		return err
	}
	return c.Print(raw, func() error {
		res, err := decodeResponse[configuration.Result](raw)
		fmt.Fprintf(c.Out, "accepted: revision %d, change %s\n", res.Revision, res.ID)
		for _, t := range res.Items {
			if t.Version == 0 {
				fmt.Fprintf(c.Out, "  %s %s removed\n", t.Kind, t.Name)
			} else {
				fmt.Fprintf(c.Out, "  %s %s version %d\n", t.Kind, t.Name, t.Version)
			}
		}
		return err
	})
}

// ZoneCmd empties or refills a zone.
type ZoneCmd struct {
	Name string `arg:"" name:"name"`
	ChangeFlags
}

// DrainZoneCmd empties.
type DrainZoneCmd struct{ ZoneCmd }

// Run empties.
func (e *DrainZoneCmd) Run(c *Context) error {
	return c.submitChange("POST", "/v1/cells/"+url.PathEscape(e.Name)+"/empty", nil, e.headers())
}

// RestoreZoneCmd refills.
type RestoreZoneCmd struct{ ZoneCmd }

// Run refills.
func (e *RestoreZoneCmd) Run(c *Context) error {
	return c.submitChange("POST", "/v1/cells/"+url.PathEscape(e.Name)+"/refill", nil, e.headers())
}

// EvacuateZoneCmd shuts.
type EvacuateZoneCmd struct{ ZoneCmd }

// Run shuts.
func (e *EvacuateZoneCmd) Run(c *Context) error {
	return c.submitChange("POST", "/v1/cells/"+url.PathEscape(e.Name)+"/shut", nil, e.headers())
}

// EndEvacuationCmd opens.
type EndEvacuationCmd struct{ ZoneCmd }

// Run opens.
func (e *EndEvacuationCmd) Run(c *Context) error {
	return c.submitChange("POST", "/v1/cells/"+url.PathEscape(e.Name)+"/open", nil, e.headers())
}

// ChangeCmd sends a whole change.
type ChangeCmd struct {
	File string `arg:"" help:"File with the change; - for standard input." name:"file"`
}

// Run sends it.
func (h *ChangeCmd) Run(c *Context) error {
	raw, err := readFile(h.File)
	if err != nil {
		return err
	}
	return c.submitChange("POST", "/v1/change", raw, nil)
}

// ResolveCmd asks the directory.
type ResolveCmd struct {
	Zone  string `required:"" help:"The asker's own cell." name:"cell"`
	Route string `required:"" help:"The route to take." name:"route"`
}

// Run asks.
func (w *ResolveCmd) Run(c *Context) error {
	raw, err := c.Call("GET", "/v1/where?cell="+url.QueryEscape(w.Zone)+"&route="+url.QueryEscape(w.Route), nil, nil)
	if err != nil {
		return err
	}
	return c.Print(raw, func() error {
		ans, err := decodeResponse[registry.Resolution](raw)
		for _, a := range ans.Proxies {
			fmt.Fprintf(c.Out, "%s (cell %s, for %d ms)\n", a, ans.Zone, ans.LifetimeMillis)
		}
		return err
	})
}

// ConfigurationCmd shows the whole configuration.
type ConfigurationCmd struct {
	Local bool `help:"The registry's own copy, which may be old." name:"local"`
}

// Run shows it.
func (p *ConfigurationCmd) Run(c *Context) error {
	path := "/v1/policy"
	if p.Local {
		path += "?local=true"
	}
	raw, err := c.Call("GET", path, nil, nil)
	if err != nil {
		return err
	}
	return c.Print(raw, func() error {
		var all any
		if err := json.Unmarshal(raw, &all); err != nil {
			return err
		}
		out, err := json.MarshalIndent(all, "", "  ")
		fmt.Fprintln(c.Out, string(out))
		return err
	})
}
