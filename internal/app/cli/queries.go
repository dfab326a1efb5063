package cli

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"

	"dunlinwell/internal/controlplane/registry"
)

// ResolveCmd asks the directory which proxies a client of a zone should connect to.
type ResolveCmd struct {
	Zone  string `required:"" help:"The asker's own cell." name:"cell"`
	Route string `required:"" help:"The route to take." name:"route"`
}

// Run runs the command.
func (r *ResolveCmd) Run(c *Context) error {
	path := "/v1/where?cell=" + url.QueryEscape(r.Zone) + "&route=" + url.QueryEscape(r.Route)
	raw, err := c.Call(http.MethodGet, path, nil, callHeaders{})
	if err != nil {
		return err
	}
	return c.Print(raw, func() error {
		resolution, err := decodeResponse[registry.Resolution](raw)
		for _, address := range resolution.Proxies {
			fmt.Fprintf(c.Out, "%s (cell %s, for %d ms)\n", address, resolution.Zone, resolution.LifetimeMillis)
		}
		return err
	})
}

// ConfigurationCmd shows the whole configuration.
type ConfigurationCmd struct {
	Local bool `help:"The registry's own copy, which may be old." name:"local"`
}

// Run runs the command.
func (g *ConfigurationCmd) Run(c *Context) error {
	raw, err := c.Call(http.MethodGet, withLocal("/v1/policy", g.Local), nil, callHeaders{})
	if err != nil {
		return err
	}
	return c.Print(raw, func() error {
		var document any
		if err := json.Unmarshal(raw, &document); err != nil {
			return err
		}
		indented, err := json.MarshalIndent(document, "", "  ")
		fmt.Fprintln(c.Out, string(indented))
		return err
	})
}
