package cli

import (
	"encoding/json"
	"fmt"
	"net/url"

	"dunlinwell/internal/app/api"
	"dunlinwell/internal/controlplane/registry"
	"dunlinwell/internal/state/policy"
)

// Items are the commands on one kind of item.
type Items struct {
	List   ListCmd   `cmd:"" help:"List all, with their versions."`
	Get    GetCmd    `cmd:"" help:"Show one."`
	Put    PutCmd    `cmd:"" help:"Make one, or replace it whole."`
	Remove RemoveCmd `cmd:"" help:"Remove one."`
}

// Kind is bound by the command that holds Items.
type Kind string

// ListCmd lists items.
type ListCmd struct {
	Local bool `help:"The registry's own copy, which may be old."`
}

// Run lists.
func (l *ListCmd) Run(c *Context, k Kind) error {
	path := "/v1/" + string(k) + "s"
	if l.Local {
		path += "?local=true"
	}
	raw, err := c.Call("GET", path, nil, nil)
	if err != nil {
		return err
	}
	return c.Show(raw, func() error {
		list, err := open[struct {
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
	Name string `arg:""`
}

// Run shows.
func (g *GetCmd) Run(c *Context, k Kind) error {
	raw, err := c.Call("GET", "/v1/"+string(k)+"s/"+url.PathEscape(g.Name), nil, nil)
	if err != nil {
		return err
	}
	return c.Show(raw, func() error {
		it, err := open[api.Item](raw)
		fmt.Fprintf(c.Out, "%s version %d %s\n", it.Name, it.Version, it.Body)
		return err
	})
}

// Guard are the flags of every change.
type Guard struct {
	Version  *uint64 `help:"Only if this is the item's version; 0 if it must not exist."`
	ChangeID string  `help:"Id of the change; the same id gives the first result again." name:"change-id"`
}

func (g Guard) head() map[string]string {
	return map[string]string{"If-Match": version(g.Version), "Change-Id": g.ChangeID}
}

// PutCmd puts an item.
type PutCmd struct {
	Name string `arg:""`
	File string `short:"f" help:"File with the JSON body; - for standard input." xor:"body" required:""`
	Body string `help:"The JSON body itself." xor:"body" required:""`
	Guard
}

// Run puts.
func (p *PutCmd) Run(c *Context, k Kind) error {
	body := []byte(p.Body)
	if p.File != "" {
		raw, err := file(p.File)
		if err != nil {
			return err
		}
		body = raw
	}
	return c.change("PUT", "/v1/"+string(k)+"s/"+url.PathEscape(p.Name), body, p.head())
}

// RemoveCmd removes an item.
type RemoveCmd struct {
	Name string `arg:""`
	Guard
}

// Run removes.
func (r *RemoveCmd) Run(c *Context, k Kind) error {
	return c.change("DELETE", "/v1/"+string(k)+"s/"+url.PathEscape(r.Name), nil, r.head())
}

// change sends a change and shows what came of it.
func (c *Context) change(method, path string, body []byte, head map[string]string) error {
	raw, err := c.Call(method, path, body, head)
	if err != nil {
		if c.JSON && len(raw) > 0 {
			fmt.Fprintln(c.Out, string(raw))
		}
		return err
	}
	return c.Show(raw, func() error {
		res, err := open[policy.Result](raw)
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

// CellDeed empties or refills a cell.
type CellDeed struct {
	Name string `arg:""`
	Guard
}

// EmptyCmd empties.
type EmptyCmd struct{ CellDeed }

// Run empties.
func (e *EmptyCmd) Run(c *Context) error {
	return c.change("POST", "/v1/cells/"+url.PathEscape(e.Name)+"/empty", nil, e.head())
}

// RefillCmd refills.
type RefillCmd struct{ CellDeed }

// Run refills.
func (e *RefillCmd) Run(c *Context) error {
	return c.change("POST", "/v1/cells/"+url.PathEscape(e.Name)+"/refill", nil, e.head())
}

// ShutCmd shuts.
type ShutCmd struct{ CellDeed }

// Run shuts.
func (e *ShutCmd) Run(c *Context) error {
	return c.change("POST", "/v1/cells/"+url.PathEscape(e.Name)+"/shut", nil, e.head())
}

// OpenCmd opens.
type OpenCmd struct{ CellDeed }

// Run opens.
func (e *OpenCmd) Run(c *Context) error {
	return c.change("POST", "/v1/cells/"+url.PathEscape(e.Name)+"/open", nil, e.head())
}

// ChangeCmd sends a whole change.
type ChangeCmd struct {
	File string `arg:"" help:"File with the change; - for standard input."`
}

// Run sends it.
func (h *ChangeCmd) Run(c *Context) error {
	raw, err := file(h.File)
	if err != nil {
		return err
	}
	return c.change("POST", "/v1/change", raw, nil)
}

// WhereCmd asks the directory.
type WhereCmd struct {
	Cell  string `required:"" help:"The asker's own cell."`
	Route string `required:"" help:"The route to take."`
}

// Run asks.
func (w *WhereCmd) Run(c *Context) error {
	raw, err := c.Call("GET", "/v1/where?cell="+url.QueryEscape(w.Cell)+"&route="+url.QueryEscape(w.Route), nil, nil)
	if err != nil {
		return err
	}
	return c.Show(raw, func() error {
		ans, err := open[registry.Resolution](raw)
		for _, a := range ans.Proxies {
			fmt.Fprintf(c.Out, "%s (cell %s, for %d ms)\n", a, ans.Cell, ans.Lifetime)
		}
		return err
	})
}

// PolicyCmd shows the whole policy.
type PolicyCmd struct {
	Local bool `help:"The registry's own copy, which may be old."`
}

// Run shows it.
func (p *PolicyCmd) Run(c *Context) error {
	path := "/v1/policy"
	if p.Local {
		path += "?local=true"
	}
	raw, err := c.Call("GET", path, nil, nil)
	if err != nil {
		return err
	}
	return c.Show(raw, func() error {
		var all any
		if err := json.Unmarshal(raw, &all); err != nil {
			return err
		}
		out, err := json.MarshalIndent(all, "", "  ")
		fmt.Fprintln(c.Out, string(out))
		return err
	})
}
