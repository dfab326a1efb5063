package cli

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"dunlinwell/internal/app/api"
	"dunlinwell/internal/base/ids"
)

// ItemKind is the kind of item that a command operates on: service, route or cell. run
// binds it to the first word of the command.
type ItemKind string

// listPath returns the API path of all items of the kind.
func (k ItemKind) listPath() string { return "/v1/" + string(k) + "s" }

// itemPath returns the API path of one item of the kind.
func (k ItemKind) itemPath(name string) string { return k.listPath() + "/" + url.PathEscape(name) }

// withLocal adds the query parameter for reading the registry's local copy.
func withLocal(path string, local bool) string {
	if local {
		return path + "?local=true"
	}
	return path
}

// ItemCommands are the commands on one kind of item.
type ItemCommands struct {
	List   ListCmd   `cmd:"" help:"List all items with their versions." name:"list"`
	Get    GetCmd    `cmd:"" help:"Show an item." name:"get"`
	Put    PutCmd    `cmd:"" help:"Create or replace an item." name:"put"`
	Remove RemoveCmd `cmd:"" help:"Remove an item." name:"remove"`
}

// ChangeFlags are the flags of a change of one item.
type ChangeFlags struct {
	Version  *uint64 `help:"Expected version of the item; 0 if it must not exist." name:"version"`
	ChangeID string  `help:"Idempotency key of the change; a retry with the same key returns the first result." name:"change-id"`
}

func (f ChangeFlags) headers() callHeaders {
	headers := callHeaders{ChangeID: f.ChangeID}
	if f.Version != nil {
		headers.ExpectedVersion = strconv.FormatUint(*f.Version, 10)
	}
	return headers
}

// ListCmd lists the items of a kind.
type ListCmd struct {
	Local bool `help:"Read the registry's local copy, which may be stale." name:"local"`
}

// itemList is the answer to ListCmd.
type itemList struct {
	Revision ids.Revision `json:"revision"`
	Items    []api.Item   `json:"items"`
}

// Run runs the command.
func (l *ListCmd) Run(c *Context, kind ItemKind) error {
	raw, err := c.Call(http.MethodGet, withLocal(kind.listPath(), l.Local), nil, callHeaders{})
	if err != nil {
		return err
	}
	return c.Print(raw, func() error {
		list, err := decodeResponse[itemList](raw)
		for _, item := range list.Items {
			fmt.Fprintf(c.Out, "%-24s version %-6d %s\n", item.Name, item.Version, item.Body)
		}
		return err
	})
}

// GetCmd shows an item.
type GetCmd struct {
	Name string `arg:"" name:"name"`
}

// Run runs the command.
func (g *GetCmd) Run(c *Context, kind ItemKind) error {
	raw, err := c.Call(http.MethodGet, kind.itemPath(g.Name), nil, callHeaders{})
	if err != nil {
		return err
	}
	return c.Print(raw, func() error {
		item, err := decodeResponse[api.Item](raw)
		fmt.Fprintf(c.Out, "%s version %d %s\n", item.Name, item.Version, item.Body)
		return err
	})
}

// PutCmd creates or replaces an item.
type PutCmd struct {
	Name string `arg:"" name:"name"`
	File string `short:"f" help:"File with the JSON body; - for standard input." xor:"body" required:"" name:"file"`
	Body string `help:"JSON body." xor:"body" required:"" name:"body"`
	ChangeFlags
}

// Run runs the command.
func (p *PutCmd) Run(c *Context, kind ItemKind) error {
	body := []byte(p.Body)
	if p.File != "" {
		raw, err := readFile(p.File)
		if err != nil {
			return err
		}
		body = raw
	}
	return c.submitChange(http.MethodPut, kind.itemPath(p.Name), body, p.headers())
}

// RemoveCmd removes an item.
type RemoveCmd struct {
	Name string `arg:"" name:"name"`
	ChangeFlags
}

// Run runs the command.
func (r *RemoveCmd) Run(c *Context, kind ItemKind) error {
	return c.submitChange(http.MethodDelete, kind.itemPath(r.Name), nil, r.headers())
}
