// Package options reads what a daemon is told at its start, by flags or from a
// file, and checks all of it before anything runs.
package settings

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"os"
	"regexp"
	"slices"
	"strings"

	"github.com/alecthomas/kong"

	"dunlinwell/internal/base/ids"
)

// Common are the options of every daemon.
type Common struct {
	ConfigFile  kong.ConfigFlag `help:"JSON file of params, named like the flags; flags win." placeholder:"FILE" name:"params"`
	Name        string          `help:"This daemon's name, the same over restarts." required:"" placeholder:"NAME" name:"name"`
	Address     string          `help:"IP number and port for our own processes, as peers are told it." required:"" placeholder:"IP:PORT" name:"address"`
	Bind        string          `help:"Where to listen for our own processes, if not at the address." placeholder:"IP:PORT" name:"bind"`
	HTTPAddress string          `help:"IP number and port for HTTP." name:"http" required:"" placeholder:"IP:PORT"`
	Zone        string          `help:"The cell this daemon stands in." required:"" placeholder:"CELL" name:"cell"`
	Seeds       []string        `help:"Addresses of the three stores to begin from." required:"" placeholder:"IP:PORT,..." name:"seeds"`
	HTTPBind    string          `help:"Where to listen for HTTP, if not at that address." placeholder:"IP:PORT" name:"http-bind"`
	LogLevel    string          `help:"Least level to log: debug, info, warn or error." default:"info" enum:"debug,info,warn,error" name:"log"`
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// Validate is called by kong once all is read.
func (c *Common) Validate() error {
	if !namePattern.MatchString(c.Name) {
		return fmt.Errorf("--name: %q must be lower-case letters, digits and inner dashes", c.Name)
	}
	if !namePattern.MatchString(c.Zone) {
		return fmt.Errorf("--cell: %q must be lower-case letters, digits and inner dashes", c.Zone)
	}
	for flag, a := range map[string]string{"address": c.Address, "http": c.HTTPAddress} {
		if err := validateAddress(flag, a); err != nil {
			return err
		}
	}
	for flag, a := range map[string]string{"bind": c.Bind, "http-bind": c.HTTPBind} {
		if a == "" {
			continue
		}
		if err := validateAddress(flag, a); err != nil {
			return err
		}
	}
	if c.Address == c.HTTPAddress {
		return fmt.Errorf("--http: must differ from --address")
	}
	if len(c.Seeds) != 3 {
		return fmt.Errorf("--seeds: must be three addresses, not %d", len(c.Seeds))
	}
	for i, s := range c.Seeds {
		if err := validateAddress("seeds", s); err != nil {
			return err
		}
		if slices.Contains(c.Seeds[:i], s) {
			return fmt.Errorf("--seeds: %s stands twice", s)
		}
	}
	return nil
}

func validateAddress(flag, address string) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 0 || parsed.Addr().IsUnspecified() {
		return fmt.Errorf("--%s: %q must be an IP number and a port", flag, address)
	}
	return nil
}

// HTTPListenAddress is where to listen for HTTP.
func (c *Common) HTTPListenAddress() string { return cmp.Or(c.HTTPBind, c.HTTPAddress) }

// SeedAddresses gives the seeds as addresses.
func (c *Common) SeedAddresses() []ids.Address {
	var out []ids.Address
	for _, s := range c.Seeds {
		out = append(out, ids.Address(s))
	}
	return out
}

// Read reads the options of a program, or ends it with one line and exit 2.
func Read(name, about string, into any) {
	k, err := kong.New(into, kong.Name(name), kong.Description(about), kong.Configuration(newFileResolver))
	if err != nil {
		fmt.Fprintln(os.Stderr, name+": "+err.Error())
		os.Exit(2)
	}
	if _, err = k.Parse(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, name+": "+strings.ReplaceAll(err.Error(), "\n", " "))
		os.Exit(2)
	}
}

// newFileResolver reads a options file; a key that is no flag is an error, not silence.
func newFileResolver(r io.Reader) (kong.Resolver, error) {
	raw, err := io.ReadAll(r)
	if err != nil {
		return nil, err
	}
	var all map[string]any
	if err := json.Unmarshal(raw, &all); err != nil {
		return nil, fmt.Errorf("--params: %w", err)
	}
	inner, err := kong.JSON(strings.NewReader(string(raw)))
	if err != nil {
		return nil, err
	}
	return &strictResolver{inner, all}, nil
}

type strictResolver struct {
	kong.Resolver
	values map[string]any
}

// Validate finds keys of the file that no flag is named like.
func (c *strictResolver) Validate(app *kong.Application) error {
	known := map[string]bool{}
	for _, f := range app.Flags {
		known[f.Name] = true
		known[strings.ReplaceAll(f.Name, "-", "_")] = true
	}
	var bad []string
	for k := range c.values {
		if !known[k] {
			bad = append(bad, k)
		}
	}
	if len(bad) > 0 {
		slices.Sort(bad)
		return fmt.Errorf("--params: no param is named %s", strings.Join(bad, ", "))
	}
	return c.Resolver.Validate(app)
}
