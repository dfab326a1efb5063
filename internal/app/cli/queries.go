package cli

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"

	"dunlinwell/internal/controlplane/registry"
)

// ResolveCmd shows which proxies a client in a zone should connect to.
type ResolveCmd struct {
	Zone  string `required:"" help:"Zone of the client." name:"cell"`
	Route string `required:"" help:"Name of the route." name:"route"`
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
			fmt.Fprintf(c.Out, "%s (zone %s, valid for %d ms)\n", address, resolution.Zone, resolution.LifetimeMillis)
		}
		return err
	})
}

// ConfigurationCmd prints the whole configuration.
type ConfigurationCmd struct {
	Local bool `help:"Read the registry's local copy, which may be stale." name:"local"`
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
