package settings

import (
	"cmp"
	"fmt"
	"net/netip"
	"os"
	"regexp"
	"slices"
	"strings"

	"github.com/alecthomas/kong"

	"dunlinwell/internal/base/ids"
)

// Common holds the options that all daemons share.
type Common struct {
	ConfigFile  kong.ConfigFlag `help:"JSON file with options, named like the flags; flags on the command line take precedence." placeholder:"FILE" name:"params"`
	Name        string          `help:"Name of this daemon; must stay the same across restarts." required:"" placeholder:"NAME" name:"name"`
	Address     string          `help:"Address that this daemon advertises to its peers." required:"" placeholder:"IP:PORT" name:"address"`
	Bind        string          `help:"Listen address for peers. Defaults to --address." placeholder:"IP:PORT" name:"bind"`
	HTTPAddress string          `help:"Address that this daemon advertises for HTTP." name:"http" required:"" placeholder:"IP:PORT"`
	Zone        string          `help:"Zone of this daemon." required:"" placeholder:"CELL" name:"cell"`
	Seeds       []string        `help:"Addresses of three stores, through which this daemon joins the fleet." required:"" placeholder:"IP:PORT,..." name:"seeds"`
	HTTPBind    string          `help:"Listen address for HTTP. Defaults to --http." placeholder:"IP:PORT" name:"http-bind"`
	LogLevel    string          `help:"Minimum log level: debug, info, warn or error." default:"info" enum:"debug,info,warn,error" name:"log"`
}

// seedCount is the number of seed stores, which are the initial voter set of a new fleet.
const seedCount = 3

// exitUsage is the exit code for invalid options.
const exitUsage = 2

// namePattern matches a DNS label, as names become part of addresses on some platforms.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// Validate checks the options. kong calls it after parsing.
func (c *Common) Validate() error {
	if err := c.validateNames(); err != nil {
		return err
	}
	if err := c.validateAddresses(); err != nil {
		return err
	}
	return c.validateSeeds()
}

func (c *Common) validateNames() error {
	if !namePattern.MatchString(c.Name) {
		return fmt.Errorf("--name: %q must be 1 to 63 lower-case letters, digits and inner hyphens", c.Name)
	}
	if !namePattern.MatchString(c.Zone) {
		return fmt.Errorf("--cell: %q must be 1 to 63 lower-case letters, digits and inner hyphens", c.Zone)
	}
	return nil
}

func (c *Common) validateAddresses() error {
	for flag, address := range map[string]string{"address": c.Address, "http": c.HTTPAddress} {
		if err := validateAddress(flag, address); err != nil {
			return err
		}
	}
	for flag, address := range map[string]string{"bind": c.Bind, "http-bind": c.HTTPBind} {
		if address == "" {
			continue
		}
		if err := validateAddress(flag, address); err != nil {
			return err
		}
	}
	if c.Address == c.HTTPAddress {
		return fmt.Errorf("--http: must differ from --address")
	}
	return nil
}

func (c *Common) validateSeeds() error {
	if len(c.Seeds) != seedCount {
		return fmt.Errorf("--seeds: must be three addresses, got %d", len(c.Seeds))
	}
	for i, seed := range c.Seeds {
		if err := validateAddress("seeds", seed); err != nil {
			return err
		}
		if slices.Contains(c.Seeds[:i], seed) {
			return fmt.Errorf("--seeds: %s is listed twice", seed)
		}
	}
	return nil
}

func validateAddress(flag, address string) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 0 || parsed.Addr().IsUnspecified() {
		return fmt.Errorf("--%s: %q must be an IP address and a port", flag, address)
	}
	return nil
}

// HTTPListenAddress returns the address to listen on for HTTP.
func (c *Common) HTTPListenAddress() string { return cmp.Or(c.HTTPBind, c.HTTPAddress) }

// SeedAddresses returns the addresses of the seed stores.
func (c *Common) SeedAddresses() []ids.Address {
	var seeds []ids.Address
	for _, seed := range c.Seeds {
		seeds = append(seeds, ids.Address(seed))
	}
	return seeds
}

// Read parses the command line into options, a pointer to a struct with kong tags. If an
// option is invalid, it prints one line to standard error and exits with code 2.
func Read(name, description string, options any) {
	parser, err := kong.New(options, kong.Name(name), kong.Description(description), kong.Configuration(newFileResolver))
	if err != nil {
		exit(name, err.Error())
	}
	if _, err = parser.Parse(os.Args[1:]); err != nil {
		exit(name, strings.ReplaceAll(err.Error(), "\n", " "))
	}
}

func exit(name, message string) {
	fmt.Fprintln(os.Stderr, name+": "+message)
	os.Exit(exitUsage)
}
